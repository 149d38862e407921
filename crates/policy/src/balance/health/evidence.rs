//! Signals on the health of an upstream.

/// Signal on the health of one upstream incarnation.
///
/// | signal | indicates | effect on the incarnation | for how long |
/// | --- | --- | --- | --- |
/// | `Answered` | it is running and serves | healthy | until another signal |
/// | `Failed` | it ran a request and failed | higher cost, by its failure rate | the rate halves each 3 s |
/// | `Unreachable` | from here, nothing accepts connections | backing off | 0.5 s, doubled in a row, up to 4 s |
/// | `Refused` | it rejects requests, whatever the reason | backing off, higher cost | 0.2 s, doubled in a row, up to 2 s |
/// | `Misdirected` | another process responds at its address | terminated | 10 s, doubled in a row, up to 60 s |
/// | `Ended` | a crash: its connections broke, its host refuses new ones | terminated | 4 s, doubled in a row, up to 60 s |
/// | `AddressTaken` | a later incarnation is listed at its address | terminated | 60 s |
///
/// An upstream that rejects requests at once has nothing in progress, so by its load alone every gateway
/// would choose it again and again. Each signal of a rejection therefore makes it a worse choice than an
/// upstream that serves. No signal excludes an upstream for good, as each may be wrong: upstreams that
/// are backing off are used when none is healthy, terminated ones when there is no other at all, and any
/// response ends both states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// A successful response.
    Answered,
    /// A failure response, or a broken stream.
    Failed,
    /// No connection could be established.
    Unreachable,
    /// A rejection: the upstream states that it did not run the request.
    Refused,
    /// A response of another process at its address.
    Misdirected,
    /// A crash of its process.
    Ended,
    /// A later incarnation listed at its address.
    AddressTaken,
}
