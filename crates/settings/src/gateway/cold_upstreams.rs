//! What may come to an upstream that is cold.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Above these nothing is bounded; what is greater still is taken for a mistake.
const MAX_OVERAGE: f64 = 1_000.0;
const MAX_SLACK_PER_S: f64 = 1e9;

/// What may come to an upstream that is cold, from all entries together.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdUpstreamSettings {
    /// So many times the requests a second that its service says it bears.
    pub overage: f64,
    /// And so many requests a second besides.
    pub slack_per_s: f64,
}

impl Default for ColdUpstreamSettings {
    fn default() -> Self {
        Self { overage: 1.0, slack_per_s: 0.0 }
    }
}

impl Validate for ColdUpstreamSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("overage", self.overage, 0.0..=MAX_OVERAGE);
        problems.range("slack_per_s", self.slack_per_s, 0.0..=MAX_SLACK_PER_S);
    }
}
