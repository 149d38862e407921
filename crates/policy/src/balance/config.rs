//! What choosing an upstream reckons with.

/// What choosing an upstream reckons with. The price of another zone is reckoned from what a
/// user pays for its bytes (17 kB cost 0.037 of a long review).
#[derive(Debug, Clone)]
pub struct BalanceConfig {
    /// How much longer each answer in progress makes a new one wait, in milliseconds.
    pub per_running_ms: f64,
    /// The usual time of a call to a plain service, in milliseconds.
    pub service_call_ms: f64,
    /// How many other requests the reading of a prompt holds up, on average. With 8 in place of 2
    /// the worth of days with faults was 0.006 to 0.013 higher on each of three deployments (standard
    /// errors of 0.003 to 0.007; two seeds of five days), with 12 on a fourth by 0.008 (0.003). Half of
    /// the requests in progress there, if that is more than 2, was worse by 0.007 than 2.
    pub held_up_by_reading: f64,
    /// What going to another availability zone costs whatever is sent, in milliseconds.
    pub cross_zone_ms: f64,
    /// What each kilobyte sent to another availability zone costs, in milliseconds.
    pub cross_zone_ms_per_kb: f64,
    /// What an upstream that fails every time costs, in milliseconds.
    pub failing_ms: f64,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            per_running_ms: 4.0,
            service_call_ms: 60.0,
            held_up_by_reading: 8.0,
            cross_zone_ms: 10.0,
            cross_zone_ms_per_kb: 8.0,
            failing_ms: 2_000.0,
        }
    }
}
