//! Model choice: the cheapest plan that meets the quality target and the deadline.
//!
//! A plan is a single model, or a cascade: a cheaper model first, and a better one if the
//! rater finds the response poor. Quality, cost and latency of each model are estimated for
//! each workspace and task. A model of unknown quality is explored only in cascades, where
//! the rater keeps a poor response from the caller.

mod engine_backlog;
mod learner;
mod model_stats;
mod plan;
mod step_up;

pub use engine_backlog::EngineBacklog;
pub use learner::CascadeConfig;
pub use learner::CascadeLearner;
pub use learner::CascadeModel;
pub use model_stats::ModelStats;
pub use plan::Plan;
pub use step_up::StepUpConfig;
pub use step_up::StepUpTiming;
