//! Roll-outs: which version a request goes to, and the task that takes the next step.

mod baseline_update;
mod decision;
mod order_and_record;
mod service_rollout;
mod state;
mod step_writer;
mod version_rule;
mod watch;

pub use baseline_update::BaselineUpdate;
pub use decision::RolloutDecision;
pub use decision::RolloutOutcome;
pub use state::Rollouts;
pub(crate) use step_writer::store_due_steps;
pub use version_rule::ControlRule;
pub use version_rule::VersionFilter;
pub use version_rule::VersionRule;
pub(crate) use watch::watch;
