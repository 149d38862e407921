//! Rollout of new versions.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// The largest slack, in requests.
const MAX_SLACK: f64 = 1_000_000.0;

/// Limits on the rollout of new versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutSettings {
    /// Maximum share of a service's requests, from 0 to 1, that a version may receive during its rollout if it turns
    /// out to be bad.
    pub max_exposure: f64,
    /// Number of requests that such a version may receive beyond that share.
    pub exposure_slack: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { max_exposure: 0.15, exposure_slack: 30.0 }
    }
}

impl Validate for RolloutSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("max_exposure", self.max_exposure, 0.0..=1.0);
        problems.check_range("exposure_slack", self.exposure_slack, 0.0..=MAX_SLACK);
    }
}
