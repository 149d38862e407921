//! Decision logic without I/O: placement, admission, version choice, load balancing,
//! rate limits, crash tracking, retries, leases and usage reports.
//!
//! Every function takes the current time, any random numbers and its inputs as arguments and
//! returns a typed decision. It opens no sockets, reads no clock and spawns no tasks, so the
//! same code runs in the daemons, in tests and in benchmarks without a network.

pub mod admission;
pub mod balance;
pub mod cascade;
pub mod cold;
pub mod connections;
pub mod fatal;
pub mod fleet_bound;
pub mod fleet_clock;
pub mod guard;
pub mod lease;
pub mod limits;
pub mod memory;
pub mod named_limits;
pub mod overload;
pub mod peer_sums;
pub mod placement;
pub mod requested_backoffs;
pub mod retry;
pub mod rollout;
pub mod usage;
pub mod version;
