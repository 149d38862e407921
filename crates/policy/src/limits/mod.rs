//! Fleet-wide rate and concurrency limits of a table row.
//!
//! Each gateway enforces its own share of a limit, which depends on the list of gateways only,
//! so a request needs no write to the store and no message. The shares of gateways with the
//! same list add up to the limit. A gateway with an outdated list may lack others, so its share
//! is reduced.

mod bucket;
mod limiter;
mod share;

pub use limiter::LimitReached;
pub use limiter::RowLimiter;
pub use limiter::RowLimits;
pub use share::EntryShare;
