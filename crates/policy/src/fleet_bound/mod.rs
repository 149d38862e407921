//! Fleet-wide bounds on the requests sent to one upstream, without coordination.
//!
//! Each gateway derives its own share of a bound from the list of gateways alone: gateways are ranked for
//! each upstream by a hash of both, and those with the lowest ranks share the bound.

mod fleet;
mod rank;
mod send_quota;
mod sent;

pub use fleet::Fleet;
pub use rank::Rank;
pub(crate) use rank::RankCache;
pub use send_quota::SendQuota;
pub(crate) use sent::SentTimes;
