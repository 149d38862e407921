//! How many further attempts are made.

use serde::Deserialize;
use serde::Serialize;

use crate::Checked;
use crate::Problems;

/// The part of the fleet's ratio that one entry uses, from 0 to 1. The rest is a reserve
/// for requests that count at one entry and were sent to another.
const USED_SHARE: f64 = 0.95;

/// The entries whose bursts together stay within the slack.
const ENTRIES_RECKONED: u32 = 6;

/// How many further attempts are made.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayRetrySettings {
    /// The most further attempts for each request that all entries may make together.
    pub fleet_ratio: f64,
    /// What may be made besides, in the time over which the platform counts.
    pub fleet_slack: u32,
}

impl Default for GatewayRetrySettings {
    fn default() -> Self {
        Self { fleet_ratio: 0.9, fleet_slack: 50 }
    }
}

impl GatewayRetrySettings {
    /// What one entry keeps to: the same ratio, less a reserve.
    pub fn budget_percent(&self) -> u32 {
        (self.fleet_ratio * USED_SHARE * 100.0).max(0.0) as u32
    }

    /// The attempts that one entry may make at once. Entries do not know how many they
    /// are; with up to six, their bursts together stay within the slack.
    pub fn burst(&self) -> u32 {
        (self.fleet_slack / ENTRIES_RECKONED).max(2)
    }
}

impl Checked for GatewayRetrySettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("fleet_ratio", self.fleet_ratio, 0.0..=10.0);
        problems.range("fleet_slack", self.fleet_slack, 0..=1_000_000);
    }
}
