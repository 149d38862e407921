//! How a sidecar admits work.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How a sidecar admits work to its upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The time between tokens that the concurrency is set to hold.
    pub token_interval_target_ms: f64,
    /// The most requests that run at once, whatever the step time.
    pub max_in_flight_requests: usize,
    /// The most requests that wait.
    pub max_queue_len_requests: usize,
    /// The time to the first token that a request is given when its deadline is
    /// further away.
    pub first_token_target_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            token_interval_target_ms: 43.0,
            max_in_flight_requests: 256,
            max_queue_len_requests: 512,
            first_token_target_ms: 1_800,
        }
    }
}

impl Validate for AdmissionSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("token_interval_target_ms", self.token_interval_target_ms, 1.0..=10_000.0);
        problems.range("max_in_flight_requests", self.max_in_flight_requests, 1..=100_000);
        problems.range("max_queue_len_requests", self.max_queue_len_requests, 0..=100_000);
        problems.range("first_token_target_ms", self.first_token_target_ms, 10..=600_000);
    }
}
