//! Stand-ins for the systems around stallhoist, and a fault-injecting TCP proxy. Used by tests and the local mode.
//!
//! The stand-ins implement every external interface on one machine: the platform (table service, host list,
//! object store, rater), model engines, services that aren't models, and the users' platform. Each
//! records what it executed, so that tests can check how often a request ran, and each can inject failures.

pub mod engine;
pub mod platform;
mod proxy;
mod service;
pub mod users_platform;

/// Time that a stopping stand-in allows for responses that are still being written.
const STOP_LINGER: std::time::Duration = std::time::Duration::from_millis(50);

pub use proxy::Direction;
pub use proxy::FaultProxy;
pub use service::ServiceExecution;
pub use service::ServiceStandin;
