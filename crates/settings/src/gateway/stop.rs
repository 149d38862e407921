//! How a planned stop goes.

use serde::Deserialize;
use serde::Serialize;

use crate::Checked;
use crate::Problems;

/// How a planned stop goes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// The time from the signal to stop until the platform kills the process.
    pub grace_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 8_000 }
    }
}

impl Checked for StopSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("grace_ms", self.grace_ms, 500..=600_000);
    }
}
