//! Leases: at most one process at a time performs a duty.
//!
//! A lease is a record in the platform's store. It is written only on the condition that the stored record is
//! still the one that was read, and it carries a fencing token, the epoch, that grows with each holder. Clocks of
//! hosts are never compared: a process that is not the holder observes the record by its own clock and takes the
//! lease over only after the record has not changed for the lease's whole duration. The holder acts only for a
//! part of that duration, counted from before its last write was sent.
//!
//! Invariant: when a process may take a lease over, no earlier holder may act any more.
//!
//! Read `LeaseTracker` first; `LeaseRecord` is what is stored.

mod record;
mod tracker;

pub use record::Holder;
pub use record::LeaseRecord;
pub use tracker::LeaseTracker;
pub use tracker::Takeover;
