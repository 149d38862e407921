//! Roll-outs: which version a request goes to, and the task that takes the next step.

mod driver;
mod order_and_record;
mod service_rollout;
mod state;
mod told_time;
mod verdict;
mod version_rule;
mod watch;

pub(crate) use driver::drive;
pub use state::Rollouts;
pub use told_time::BaselineUpdate;
pub use verdict::Ending;
pub use verdict::Verdict;
pub use version_rule::ControlRule;
pub use version_rule::VersionFilter;
pub use version_rule::VersionRule;
pub(crate) use watch::watch;
