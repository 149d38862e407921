//! Retry budget of the gateways.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Share of the fleet's ratio that one gateway uses, from 0 to 1. The rest is a reserve for requests that count at one
/// gateway and were sent to another.
const USED_RATIO_SHARE: f64 = 0.95;

/// One gateway gets at most the slack divided by this, as it may not know of others yet.
const MIN_SLACK_DIVISOR: usize = 6;

/// Most that a gateway of a fleet saves before it is listed: enough for the three attempts of one request. Until then
/// it cannot tell how many others have started with it.
const UNLISTED_BURST: f64 = 2.0;

/// Values this high bound nothing, and higher ones are rejected as mistakes.
const MAX_RATIO: f64 = 1_000.0;
const MAX_SLACK: f64 = 1e9;

/// Retry budget that all gateways share.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayRetrySettings {
    /// Maximum number of retries for each request, over all gateways together.
    pub fleet_ratio: f64,
    /// Number of retries allowed in addition, in the period over which the platform counts.
    pub fleet_slack: f64,
}

impl Default for GatewayRetrySettings {
    fn default() -> Self {
        Self { fleet_ratio: 0.9, fleet_slack: 50.0 }
    }
}

impl GatewayRetrySettings {
    /// Retries of one gateway as a percentage of its requests: the fleet's ratio, less a reserve.
    pub fn budget_percent(&self) -> u32 {
        (self.fleet_ratio * USED_RATIO_SHARE * 100.0).max(0.0) as u32
    }

    /// Number of retries that one of `entries` listed gateways may save from its requests. All of them together stay
    /// within the slack, unless that is less than one for each gateway: with less than one, no retry could ever be
    /// made.
    pub fn burst_per_gateway(&self, entries: usize) -> f64 {
        (self.fleet_slack / entries.max(MIN_SLACK_DIVISOR) as f64).max(1.0)
    }

    /// The same for a gateway that is not listed yet but has seeds, and so is not alone.
    pub fn unlisted_burst(&self) -> f64 {
        self.burst_per_gateway(1).min(UNLISTED_BURST)
    }
}

impl Validate for GatewayRetrySettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("fleet_ratio", self.fleet_ratio, 0.0..=MAX_RATIO);
        problems.check_range("fleet_slack", self.fleet_slack, 0.0..=MAX_SLACK);
    }
}
