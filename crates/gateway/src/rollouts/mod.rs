//! Rollouts: chooses the version that a request goes to, and stores the steps of a rollout.
//!
//! `state` holds the rollouts of all services and `service_rollout` that of one; `order_and_record`
//! relates the order to the stored record, `evidence_report` and `peer_counts` hold what peers have counted, and
//! `version_choice` makes the resulting choice, a `version_rule`. The tasks are `step_writer` and `watch`.

mod baseline_update;
mod decision;
mod evidence_report;
mod order_and_record;
mod peer_counts;
mod service_rollout;
mod state;
mod step_writer;
mod version_choice;
mod version_rule;
mod watch;

pub use baseline_update::BaselineUpdate;
pub use decision::RolloutDecision;
pub use decision::RolloutOutcome;
pub use evidence_report::EvidenceReport;
pub use evidence_report::ProcessRun;
pub use evidence_report::ReportPath;
pub use peer_counts::ReportPosition;
pub use state::Rollouts;
pub(crate) use step_writer::store_due_steps;
pub use version_rule::ControlRule;
pub use version_rule::VersionFilter;
pub use version_rule::VersionRule;
pub(crate) use watch::watch;
