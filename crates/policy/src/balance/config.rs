//! Weights of the cost function that selects an upstream.

/// Weights of the cost function that selects an upstream. The cost of another availability zone follows
/// from what users pay for transferred bytes: 17 kB cost 0.037 of the worth of a long review.
#[derive(Debug, Clone)]
pub struct BalanceConfig {
    /// Additional wait of a new request for each response in progress, in milliseconds.
    pub per_running_request_ms: f64,
    /// Typical duration of a call to a plain service, in milliseconds.
    pub service_call_ms: f64,
    /// Average number of other requests that one prefill delays. With 8 instead of 2, the worth of days
    /// with faults was 0.006 to 0.013 higher on each of three deployments (standard errors of 0.003 to
    /// 0.007), with 12 on a fourth by 0.008 (0.003). Half of the requests in progress on the upstream,
    /// where that exceeds 2, was worse by 0.007 than 2.
    pub held_up_by_reading: f64,
    /// Fixed cost of a request to another availability zone, in milliseconds.
    pub cross_zone_ms: f64,
    /// Cost of each kilobyte sent to another availability zone, in milliseconds.
    pub cross_zone_ms_per_kb: f64,
    /// Cost of an upstream whose failure rate is 1, in milliseconds.
    pub failure_penalty_ms: f64,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            per_running_request_ms: 4.0,
            service_call_ms: 60.0,
            held_up_by_reading: 8.0,
            cross_zone_ms: 10.0,
            cross_zone_ms_per_kb: 8.0,
            failure_penalty_ms: 2_000.0,
        }
    }
}
