//! Rate limit of upstreams that are warming up.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Values this high bound nothing, and higher ones are rejected as mistakes.
const MAX_OVERAGE: f64 = 1_000.0;
const MAX_SLACK_PER_S: f64 = 1e9;

/// Rate limit of an upstream that is warming up, over all gateways together.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdUpstreamSettings {
    /// Factor on the rate, in requests per second, that the service states for an upstream that is warming up.
    pub overage: f64,
    /// Requests per second allowed in addition.
    pub slack_per_s: f64,
}

impl Default for ColdUpstreamSettings {
    fn default() -> Self {
        Self { overage: 1.0, slack_per_s: 0.0 }
    }
}

impl Validate for ColdUpstreamSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("overage", self.overage, 0.0..=MAX_OVERAGE);
        problems.check_range("slack_per_s", self.slack_per_s, 0.0..=MAX_SLACK_PER_S);
    }
}
