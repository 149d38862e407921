//! Admission of requests by a sidecar.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Limits by which a sidecar admits requests to its upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Target for the token interval: the concurrency is adjusted to meet it.
    pub token_interval_target_ms: f64,
    /// Maximum number of requests that run at once, whatever the step time.
    pub max_in_flight_requests: usize,
    /// Maximum number of queued requests.
    pub max_queue_len_requests: usize,
    /// Target for the time to the first token, for requests whose deadline is later than that.
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
    fn validate(&self, problems: &mut Problems) {
        problems.check_range(
            "token_interval_target_ms",
            self.token_interval_target_ms,
            1.0..=10_000.0,
        );
        problems.check_range("max_in_flight_requests", self.max_in_flight_requests, 1..=100_000);
        problems.check_range("max_queue_len_requests", self.max_queue_len_requests, 0..=100_000);
        problems.check_range("first_token_target_ms", self.first_token_target_ms, 10..=600_000);
    }
}
