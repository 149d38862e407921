//! The stored state of a roll-out.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::VersionName;

/// How far a roll-out has come. Phases only follow in the order below.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// A small share goes to the new version.
    Canary,
    /// Everything is moving over since this moment of the store's clock, in milliseconds.
    Shifting {
        /// When it began.
        since_ms: u64,
    },
    /// Everything goes to the new version; the old one may be stopped.
    Completed,
    /// Nothing goes to the new version.
    RolledBack,
}

impl RolloutPhase {
    /// Its place in the order.
    fn rank(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Shifting { .. } => 1,
            Self::Completed | Self::RolledBack => 2,
        }
    }
}

/// The stored state of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The version to move to.
    pub target: VersionName,
    /// When it was ordered, on the store's clock, in milliseconds.
    pub started_ms: u64,
    /// The time it should be done in, in milliseconds.
    pub duration_ms: u64,
    /// How far it has come.
    pub phase: RolloutPhase,
}

impl RolloutRecord {
    /// Whether this, which is known, goes before what a store has that has come back from a copy. That is
    /// an earlier state of it or of another roll-out, or was begun by one that did not know of it.
    pub fn outlives(&self, restored: &Self) -> bool {
        if self.is_same_rollout(restored) {
            return self != restored && self.phase.rank() >= restored.phase.rank();
        }
        self.is_settled() || self.started_ms > restored.started_ms
    }

    /// Whether another record is of the same roll-out, in whichever phase.
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        self.target == other.target && self.started_ms == other.started_ms
    }

    /// Whether nothing more will change.
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, RolloutPhase::Completed | RolloutPhase::RolledBack)
    }
}
