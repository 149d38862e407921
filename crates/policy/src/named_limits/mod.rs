//! Upstreams that name a limit: how many requests a second they take from all entries together.
//!
//! The bound is the fleet's, and each entry keeps to its own part of it, which follows from the list
//! of entries alone. Each keeping to the whole of it sends as many times too much as there are entries.
//! A limit lasts for as long as answers name it, so it matters which answer is the later one.

mod named_limit;
mod record;
mod turns;
mod upstreams;

pub use named_limit::NamedLimit;
pub use record::LimitUpdate;
pub use upstreams::NamedLimits;
