//! Small stand-ins for what surrounds the system, and a fault-injecting proxy.
//!
//! This crate exists so that every interface can be met on one machine: the
//! platform (table service, host list, object store, weight store, rater), model
//! engines and plain services. Each keeps count of what it executed, which is what
//! proofs are checked against, and each has switches that bring about failures.
//! Nothing here is part of the product.

pub mod engine;
pub mod platform;
mod proxy;
mod service;
pub mod users_platform;

/// How long a stopping stand-in lets what it still writes go out.
const STOP_LINGER: std::time::Duration = std::time::Duration::from_millis(50);

pub use proxy::Direction;
pub use proxy::FaultProxy;
pub use service::ServiceExecution;
pub use service::ServiceStandin;
