//! Planned stop of a gateway.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::TimeSpan;
use crate::Validate;

/// A day, longer than any stop takes.
const MAX_GRACE: TimeSpan = TimeSpan::from_secs(86_400);

/// Planned stop of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time from the stop signal until the platform kills the process.
    pub grace: TimeSpan,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace: TimeSpan::from_secs(8) }
    }
}

impl Validate for StopSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("grace", self.grace, TimeSpan::from_secs(0)..=MAX_GRACE);
    }
}
