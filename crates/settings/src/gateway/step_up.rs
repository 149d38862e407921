//! Step-up from a small model's response to a better model.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// When the response of a small model is discarded and a better model is used.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepUpSettings {
    /// A response is discarded if the model's confidence in it is below this: one threshold for each priority, the
    /// most urgent one first; the last one applies to all further priorities.
    pub below_confidence_percent: Vec<u8>,
}

impl Default for StepUpSettings {
    fn default() -> Self {
        Self { below_confidence_percent: vec![50] }
    }
}

impl Validate for StepUpSettings {
    fn validate(&self, problems: &mut Problems) {
        if self.below_confidence_percent.is_empty() {
            problems.add("below_confidence_percent", "must hold at least one number");
        }
        if self.below_confidence_percent.iter().any(|percent| *percent > 100) {
            problems.add("below_confidence_percent", "each must be from 0 to 100");
        }
    }
}
