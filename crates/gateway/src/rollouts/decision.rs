//! What an entry knows of the end of a roll-out.

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;

/// How a roll-out ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The new version was found bad; this may not be recorded yet.
    Bad,
    /// It is recorded as completed: the old version is being stopped.
    Completed,
}

/// What an entry knows of the end of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The service.
    pub service: ServiceName,
    /// The version of the order's row: a verdict on another order is of no use.
    pub order_version: StoreVersion,
    /// How it ends.
    pub outcome: RolloutOutcome,
}
