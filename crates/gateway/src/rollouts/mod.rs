//! Roll-outs: which version a request goes to, and the task that takes the next step.

mod baseline_update;
mod order_and_record;
mod service_rollout;
mod state;
mod step_writer;
mod verdict;
mod version_rule;
mod watch;

pub use baseline_update::BaselineUpdate;
pub use state::Rollouts;
pub(crate) use step_writer::store_due_steps;
pub use verdict::RolloutDecision;
pub use verdict::RolloutOutcome;
pub use version_rule::ControlRule;
pub use version_rule::VersionFilter;
pub use version_rule::VersionRule;
pub(crate) use watch::watch;
