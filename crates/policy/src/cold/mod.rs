//! Upstreams that are warming up ("cold"): for a while after a start they handle only a limited number of
//! requests per second.
//!
//! A restarted upstream is idle and therefore the best choice of every gateway at once: without a bound,
//! 21 gateways sent 34 to 48 requests within one second to an upstream that handles 32. The bound holds
//! for the whole fleet without coordination: each gateway derives its own share from the list of gateways
//! alone.

mod bound;
mod record;
mod upstreams;

pub use bound::ColdBound;
pub use bound::ColdService;
pub use record::ReportedCold;
pub use upstreams::ColdUpstreams;
