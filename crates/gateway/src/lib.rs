//! The process on an entry host where upstreams are called directly.
//!
//! This crate exists for platforms that give each upstream its own address and no room
//! for a sidecar in the path: a gateway takes a request, chooses the version, the model
//! and the upstream, makes the attempts, and passes the answer on. What it decides with is
//! in [`stallhoist_policy`]; what it knows comes from a [`control_store::ControlStore`]; the
//! headers on the wire are the business of a [`dialect::Dialect`]. Gateways share the store,
//! and in large fleets the news from it.
//!
//! - [`suspend_recovery`]: what an entry does after its host was suspended
//! - [`routing`]: the routing configuration
//! - [`members`]: the upstreams that are known
//! - [`peers`]: news between entries
//! - [`rollouts`]: moving a service to a new version
//! - [`sessions`]: which version each session was answered by
//! - [`era_watch`]: which era of the store what is known is from
//! - [`planned_stop`]: what is still taken after a stop was asked for
//! - [`log_limit`]: keeping lines that others can cause at will out of the log
//! - `fatal`: requests that end the upstreams that run them
//! - `follow`: the tasks that follow the store
//! - `state`: what all tasks share
//! - `upstreams`: the choice of an upstream
//! - `request`: one request, from its head to its final answer
//! - `upstream`: connections to upstreams
//! - `callers`: the interface to callers

mod callers;
pub mod control_store;
mod decision_log;
pub mod dialect;
pub mod era_tracker;
mod error;
pub mod event_frames;
mod fatal;
mod follow;
pub mod log_limit;
pub mod members;
mod metrics;
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
pub use process::Leaving;
pub use process::Serving;
