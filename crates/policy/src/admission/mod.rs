//! Admission at a sidecar: what runs now, what waits, what is refused at once.
//!
//! The step time of an engine is learnt online as `a + b * batch`; the number of
//! requests that run at once is the largest that holds the time between tokens.
//! Work whose first token is predicted to miss its time is refused when it arrives,
//! with the time after which a place is kept for it.

mod config;
mod controller;
mod estimator;
mod forecast;
mod prediction_error;
mod queue;
mod reservations;
mod running;
mod step_model;
mod work;

pub use config::AdmissionConfig;
pub use config::QueueOrder;
pub use controller::AdmissionController;
pub use controller::AdmissionDecision;
pub use controller::Prediction;
pub use controller::QueueDecision;
pub use estimator::Estimator;
pub use prediction_error::PredictionError;
pub use step_model::StepModel;
pub use work::AdmissionRequest;
