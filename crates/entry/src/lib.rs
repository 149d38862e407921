//! The process on each entry host. It serves callers and operators, and is responsible for a request
//! from its arrival to its response.
//!
//! An entry has no global state of the fleet. It is connected to a bounded subset of each target's
//! sidecars, probes a few of them for the expected latency of a request, and sends it to the best one.
//! A request that must not be repeated is first claimed in the store. When a connection breaks, the
//! sidecar is asked for the state of the attempt. A request is reported as not run only if that is
//! proved.
//!
//! Read `process` first, then `callers` and `request`, then `mesh` (the connections to sidecars).
//!
//! Lock order: `links`, `link state`, `waiters`, `bills`, `holders`, `retries`, `ejection`, `guard`,
//! `learners`, `unreleased`, `limits`. No lock is held across an await point.

mod background;
mod billing;
mod callers;
mod claiming;
mod holds;
mod learners;
mod limits;
mod mesh;
mod metrics;
mod operators;
mod process;
mod ratings;
mod request;
mod session;
mod shared;
mod table_sync;

pub use process::Draining;
pub use process::Entry;
pub use process::EntryError;
pub use process::Leaving;
pub use process::Serving;
pub use session::SessionKeys;
pub use session::SessionToken;
pub use session::SessionTokenError;
