//! Between models: the cheapest plan whose quality meets the target and whose time fits.
//!
//! A plan is one model, or a cheaper one first and a better one if the rater finds the
//! answer poor. Quality, cost and latency of each model are learnt for each workspace
//! and task. What is not known of a cheap model is learnt in cascades, where the judge
//! keeps a poor answer from the caller, never by trying it unjudged.

mod learner;
mod model_stats;
mod plan;
mod step_up;

pub use learner::CascadeConfig;
pub use learner::CascadeLearner;
pub use learner::CascadeModel;
pub use model_stats::ModelStats;
pub use plan::Plan;
pub use step_up::StepUpConfig;
pub use step_up::StepUpTiming;
