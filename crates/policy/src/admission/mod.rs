//! Admission control at a sidecar: starts, queues or rejects each request.
//!
//! The step time of an engine is estimated online as `a + b * batch`. Concurrency is the
//! largest batch that meets the target time between tokens. A request whose first token is
//! predicted to miss its deadline is rejected on arrival, with a retry time for which a slot
//! is reserved.
//!
//! Read `controller` first, then `forecast` (predicted waits), `estimator` and `step_model`
//! (predicted durations), and `crate::overload::Reservations`.

mod config;
mod controller;
mod estimator;
mod forecast;
mod prediction_error;
mod queue;
mod request;
mod running;
mod step_model;

pub use config::AdmissionConfig;
pub use config::QueueOrder;
pub use controller::AdmissionController;
pub use controller::AdmissionDecision;
pub use controller::Prediction;
pub use controller::QueueDecision;
pub use estimator::Estimator;
pub use prediction_error::PredictionError;
pub use request::AdmissionRequest;
pub use step_model::StepModel;
