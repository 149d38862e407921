//! What admission aims for.

use std::time::Duration;

/// In which order waiting work is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// In the order of arrival.
    Fifo,
    /// The earliest deadline for the first token first.
    #[default]
    EarliestDeadline,
    /// The most urgent for its length first: least expected service divided by time
    /// left, after the potential utility density of TimelyLLM (see the docs).
    UtilityDensity,
}

/// What admission aims for.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// The time between tokens that the concurrency is set to hold.
    pub token_interval_target: Duration,
    /// The most that runs at once, whatever the step time.
    pub max_in_flight_requests: usize,
    /// The most that waits.
    pub max_queue_len_requests: usize,
    /// The most time to the first token that any work is given.
    pub first_token_target: Duration,
    /// The order of waiting work.
    pub order: QueueOrder,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            token_interval_target: Duration::from_millis(43),
            max_in_flight_requests: 256,
            max_queue_len_requests: 512,
            first_token_target: Duration::from_millis(1_800),
            order: QueueOrder::default(),
        }
    }
}
