//! What shows how an upstream is.

/// What shows how one start of an upstream is.
///
/// | evidence | proves | the start is | for how long |
/// | --- | --- | --- | --- |
/// | `Answered` | it is there and serves | well | until other evidence |
/// | `Failed` | it ran a request and failed | dearer, by its failure rate | half of it each 3 s |
/// | `Unreachable` | from here, nothing takes connections there | resting | 0.5 s, doubled in a row, to 4 s |
/// | `Refused` | it does not run requests now, whatever the reason | resting, and dearer | 0.2 s, doubled in a row, to 2 s |
/// | `Misdirected` | another process answers at its address | over | 10 s, doubled in a row, to 60 s |
/// | `Ended` | its process has ended: its connections broke, and its host refuses new ones | over | 4 s, doubled in a row, to 60 s |
/// | `AddressTaken` | a later start is listed at its address | over | 60 s |
///
/// An upstream that answers at once that it did not run a request has nothing in progress, so by
/// its load alone it would be the best choice for every entry, again and again: each kind of
/// evidence of that makes it a worse choice than one that serves. None of them forbids an
/// upstream for good, since each may be wrong: those that rest are used when no other is well,
/// those that are over when there is no other at all, and any answer ends both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// It answered well.
    Answered,
    /// It answered with a failure, or broke off.
    Failed,
    /// It could not be connected to.
    Unreachable,
    /// It promised that it did not run the request.
    Refused,
    /// Another process answered in its place.
    Misdirected,
    /// Its process has ended.
    Ended,
    /// A later start is listed at its address.
    AddressTaken,
}
