//! The stored state of a rollout.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::VersionName;

use super::Permille;

/// The phase of a rollout. Phases only follow in the order below.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// A small share of the requests goes to the new version.
    Canary,
    /// All requests are moving to the new version since this time of the store's clock, in
    /// milliseconds.
    Shifting {
        /// When the move began.
        since_ms: u64,
    },
    /// All requests go to the new version; the old one may be stopped.
    Completed,
    /// No request goes to the new version.
    RolledBack,
}

impl RolloutPhase {
    /// The position in the order of phases.
    fn rank(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Shifting { .. } => 1,
            Self::Completed | Self::RolledBack => 2,
        }
    }
}

/// The stored state of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The version to move to.
    pub target: VersionName,
    /// When it was ordered, in milliseconds of the store's clock.
    pub started_ms: u64,
    /// The duration in which it should be completed, in milliseconds.
    pub duration_ms: u64,
    /// The current phase.
    pub phase: RolloutPhase,
    /// The new version's share of the requests while it is observed, if it is not the usual one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary_share: Option<Permille>,
}

impl RolloutRecord {
    /// Whether this known record takes precedence over one from a store that was restored from a copy.
    /// The restored one is an earlier state of the same or another rollout, or was begun by a gateway
    /// that did not know of this one.
    pub fn supersedes(&self, restored: &Self) -> bool {
        if self.is_same_rollout(restored) {
            return self != restored && self.phase.rank() >= restored.phase.rank();
        }
        self.is_settled() || self.started_ms > restored.started_ms
    }

    /// Whether another record is of the same rollout, in any phase.
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        self.target == other.target && self.started_ms == other.started_ms
    }

    /// Whether the rollout is over.
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, RolloutPhase::Completed | RolloutPhase::RolledBack)
    }
}
