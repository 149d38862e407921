//! The outcome of a rollout.

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;

/// The outcome of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The new version was found bad; this may not be recorded yet.
    Bad,
    /// It is recorded as completed; the old version is being stopped.
    Completed,
}

/// The known outcome of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The service.
    pub service: ServiceName,
    /// The row version of the order: a decision on another order does not apply.
    pub order_version: StoreVersion,
    /// The outcome.
    pub outcome: RolloutOutcome,
}
