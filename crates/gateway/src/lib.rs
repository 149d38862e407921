//! The gateway: the process that calls upstreams directly.
//!
//! This crate exists for platforms that give each upstream its own address and have no room for a
//! sidecar in the path. A gateway receives a request, chooses the version, the model and the
//! upstream, makes the attempts and forwards the response. Its decisions are made in
//! [`stallhoist_policy`], its state comes from a [`control_store::ControlStore`], and a
//! [`dialect::Dialect`] implements the headers on the wire. Gateways share the store, and in large
//! fleets the data read from it.
//!
//! - [`suspend_recovery`]: refreshing state after the host was suspended
//! - [`routing`]: the routing configuration
//! - [`members`]: the known upstreams
//! - [`peers`]: exchange of data between gateways
//! - [`rollouts`]: moving a service to a new version
//! - [`duties`]: what one gateway at a time does for the platform
//! - [`sessions`]: the version that served each session
//! - [`era_tracker`]: the store era that the known state belongs to
//! - [`planned_stop`]: which requests a stopping gateway accepts
//! - [`log_limit`]: rate limit of log lines that others can cause
//! - `fatal`: requests that crash the upstreams that run them
//! - `follow`: the tasks that follow the store
//! - `state`: the state shared by all tasks
//! - `upstreams`: the choice of an upstream
//! - `request`: one request, from its head to its final response
//! - `upstream`: connections to upstreams
//! - `callers`: the interface to callers

mod admission;
mod attempt_times;
mod callers;
pub mod control_store;
mod decision_log;
pub mod dialect;
pub mod duties;
pub mod era_tracker;
mod error;
pub mod event_frames;
mod fatal;
mod follow;
mod host_limits;
pub mod log_limit;
pub mod members;
mod metrics;
mod observed_io;
mod operators;
pub mod peers;
pub mod planned_stop;
mod process;
mod request;
mod retry_budgets;
pub mod rollouts;
pub mod routing;
pub mod sessions;
mod state;
pub mod suspend_recovery;
mod tcp;
mod upstream;
pub mod upstream_report;
mod upstreams;

pub use error::GatewayError;
pub use process::Draining;
pub use process::Gateway;
pub use process::GatewayParts;
pub use process::Leaving;
pub use process::Serving;
