//! Bounds on what all entries together send to one upstream, with nothing agreed between them.
//!
//! Each entry works out from the list of entries alone which part of the bound is its own: entries
//! are ranked for each upstream by a hash of both, and those that come first share it.

mod fleet;
mod rank;
mod send_quota;
mod sent;

pub use fleet::Fleet;
pub use rank::Rank;
pub(crate) use rank::RankCache;
pub use send_quota::SendQuota;
pub(crate) use sent::SentTimes;
