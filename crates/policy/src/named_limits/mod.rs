//! Rate limits that upstreams report: how many requests per second an upstream accepts from all gateways
//! together.
//!
//! Each gateway keeps to its own share, which it derives from the list of gateways alone; if each used the
//! whole limit, the upstream would get as many times its limit as there are gateways. A limit lasts for as
//! long as responses report it, so the order of responses matters. `turn_schedule` lets gateways without
//! a share check one after the other whether the limit still holds.

mod named_limit;
mod record;
mod turn_schedule;
mod upstreams;

pub use named_limit::NamedLimit;
pub use record::LimitUpdate;
pub use upstreams::NamedLimits;
