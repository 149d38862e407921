//! How new versions are brought in.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How new versions are brought in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutSettings {
    /// The most of a service's requests that a version may get in its time which turns out to be
    /// bad, from 0 to 1.
    pub max_exposure: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { max_exposure: 0.15 }
    }
}

impl Validate for RolloutSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("max_exposure", self.max_exposure, 0.0..=1.0);
    }
}
