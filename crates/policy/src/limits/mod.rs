//! Limits of a table row that hold over the whole fleet.
//!
//! Each entry keeps to its own share, which follows from the list of entries alone: no write
//! to the store and no message a request. The shares of entries with the same list add up to
//! the limit. An entry whose list is old may not know of others, so its share shrinks.

mod bucket;
mod limiter;
mod share;

pub use limiter::LimitReached;
pub use limiter::RowLimiter;
pub use limiter::RowLimits;
pub use share::EntryShare;
