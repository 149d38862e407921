//! When an answer of a small model is dropped and a better one asked.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// When an answer of a small model is dropped and a better one asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepUpSettings {
    /// Below this opinion of its own answer: one for each priority, the most urgent
    /// first; the last holds for all that follow.
    pub below_confidence_percent: Vec<u8>,
}

impl Default for StepUpSettings {
    fn default() -> Self {
        Self { below_confidence_percent: vec![50] }
    }
}

impl Validate for StepUpSettings {
    fn check(&self, problems: &mut Problems) {
        if self.below_confidence_percent.is_empty() {
            problems.add("below_confidence_percent", "must hold at least one number");
        }
        if self.below_confidence_percent.iter().any(|percent| *percent > 100) {
            problems.add("below_confidence_percent", "each must be from 0 to 100");
        }
    }
}
