//! Settings of the admission controller.

use std::time::Duration;

/// The order in which queued requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// By arrival time.
    Fifo,
    /// By the deadline of the first token, earliest first.
    #[default]
    EarliestDeadline,
    /// By the product of expected service time and time left, smallest first, after the
    /// potential utility density of TimelyLLM.
    UtilityDensity,
}

/// Settings of the admission controller.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// The target time between tokens; concurrency is limited to meet it.
    pub token_interval_target: Duration,
    /// The maximum concurrency, whatever the step time.
    pub max_in_flight_requests: usize,
    /// The maximum queue length.
    pub max_queue_len_requests: usize,
    /// The maximum time to the first token of any request.
    pub first_token_target: Duration,
    /// The order of the queue.
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
