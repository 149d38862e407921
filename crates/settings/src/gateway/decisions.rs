//! Which mechanisms decide about models and upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Which mechanisms decide about models and upstreams. All are on; tests and measurements
/// switch single ones off to see what they are worth.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Long prompts are steered to one upstream of all availability zones, not to one in each.
    pub has_fleet_homes: bool,
    /// How fast engines read prompts is learnt from their answers.
    pub learns_speeds: bool,
    /// A better model is asked only if its answer is expected in time.
    pub needs_better_in_time: bool,
    /// Entries tell each other what work is in progress.
    pub tells_work: bool,
    /// How many other requests the reading of a prompt is reckoned to hold up.
    pub held_up_by_reading: f64,
}

impl Default for DecisionSettings {
    fn default() -> Self {
        Self {
            has_fleet_homes: true,
            learns_speeds: true,
            needs_better_in_time: true,
            tells_work: true,
            held_up_by_reading: 8.0,
        }
    }
}

impl Validate for DecisionSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("held_up_by_reading", self.held_up_by_reading, 0.0..=100.0);
    }
}
