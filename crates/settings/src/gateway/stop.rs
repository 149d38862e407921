//! How a planned stop goes.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::TimeSpan;
use crate::Validate;

/// A day: no stop is waited for so long.
const MAX_GRACE: TimeSpan = TimeSpan::from_secs(86_400);

/// How a planned stop goes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// The time from the signal to stop until the platform kills the process.
    pub grace: TimeSpan,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace: TimeSpan::from_secs(8) }
    }
}

impl Validate for StopSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("grace", self.grace, TimeSpan::from_secs(0)..=MAX_GRACE);
    }
}
