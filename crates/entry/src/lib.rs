//! The process on each entry host: serves callers and operators, and owns a request
//! from its arrival to its final answer.
//!
//! An entry keeps no picture of the whole. It stays connected to a bounded subset of
//! each target's sidecars, asks a few of them what a request would cost, and sends it
//! to the best answer. What must not be repeated is claimed in the store first. When a
//! connection breaks, the sidecar is asked what became of the attempt; nothing is
//! called "not run" that was not proved so.
//!
//! Lock order: `links`, `link state`, `waiters`, `bills`, `holders`, `retries`,
//! `ejection`, `guard`, `learners`,
//! `unreleased`, `limits`. No lock is held across an await point.

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
