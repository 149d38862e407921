//! Upstreams that name a limit: how many requests a second they take from all entries together.

mod named_limit;
mod upstreams;

pub use named_limit::NamedLimit;
pub use upstreams::NamedLimits;
