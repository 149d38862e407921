//! Roll-outs: which version a request goes to, and the task that takes the next step.

mod baseline_update;
mod driver;
mod order_and_record;
mod service_rollout;
mod state;
mod verdict;
mod version_rule;
mod watch;

pub use baseline_update::BaselineUpdate;
pub(crate) use driver::drive;
pub use state::Rollouts;
pub use verdict::RolloutDecision;
pub use verdict::RolloutOutcome;
pub use version_rule::ControlRule;
pub use version_rule::VersionFilter;
pub use version_rule::VersionRule;
pub(crate) use watch::watch;
