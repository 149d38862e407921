//! How many further attempts are made.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// The part of the fleet's ratio that one entry uses, from 0 to 1. The rest is a reserve
/// for requests that count at one entry and were sent to another.
const USED_SHARE: f64 = 0.95;

/// The slack divided by this is the most that one entry has, so that up to six entries
/// together stay within the slack.
const MIN_DIVISOR: f64 = 6.0;

/// The bursts of a large fleet's entries come to at most so many times the slack. Half of it
/// is for the reserve in the ratio, which is as much again at 200 requests a second. With the
/// slack alone, answers that should have been bettered were not: 0.941 -> 0.914 of a calm
/// day's worth was served on the grown Fjordsegl.
const SLACK_MULTIPLE: f64 = 2.0;

/// Above these the budget bounds nothing; what is greater still is taken for a mistake.
const MAX_RATIO: f64 = 1_000.0;
const MAX_SLACK: f64 = 1e9;

/// How many further attempts are made.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayRetrySettings {
    /// The most further attempts for each request that all entries may make together.
    pub fleet_ratio: f64,
    /// What may be made besides, in the time over which the platform counts. A part of an
    /// attempt is not made.
    pub fleet_slack: f64,
}

impl Default for GatewayRetrySettings {
    fn default() -> Self {
        Self { fleet_ratio: 0.9, fleet_slack: 50.0 }
    }
}

impl GatewayRetrySettings {
    /// What one entry keeps to: the same ratio, less a reserve.
    pub fn budget_percent(&self) -> u32 {
        (self.fleet_ratio * USED_SHARE * 100.0).max(0.0) as u32
    }

    /// The attempts that one of so many entries may make at once. At least one, or no attempt
    /// could ever be made.
    pub fn burst_per_gateway(&self, entries: usize) -> u32 {
        let share = self.fleet_slack * SLACK_MULTIPLE / entries.max(1) as f64;
        share.min(self.fleet_slack / MIN_DIVISOR).max(1.0) as u32
    }
}

impl Validate for GatewayRetrySettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("fleet_ratio", self.fleet_ratio, 0.0..=MAX_RATIO);
        problems.range("fleet_slack", self.fleet_slack, 0.0..=MAX_SLACK);
    }
}
