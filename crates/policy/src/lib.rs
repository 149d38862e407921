//! Decisions without input or output: placement, admission, version choice, guard,
//! limits and retries.
//!
//! This crate exists so that what is decided can be tested, measured and embedded
//! without a network. Every function takes the time and the random numbers it
//! needs, and typed facts; it returns a typed decision. No sockets, no clocks, no
//! tasks. The same code runs in the daemons, in the tests and in the benches.

pub mod admission;
pub mod balance;
pub mod cascade;
pub mod cold;
pub mod fatal;
pub mod fleet_bound;
pub mod guard;
pub mod limits;
pub mod named_limits;
pub mod placement;
pub mod requested_backoffs;
pub mod retry;
pub mod rollout;
pub mod version;
