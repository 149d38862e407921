//! Parameters of the attribution of crashes to requests.

use std::time::Duration;

/// Parameters of the attribution of crashes to requests.
#[derive(Debug, Clone)]
pub struct FatalConfig {
    /// A request is quarantined after this many crashes, unless other requests explain all of them. A
    /// threshold of two would quarantine requests that happened to run twice on the same upstream as a
    /// fatal one.
    pub quarantine_threshold: usize,
    /// Delay before a quarantined request may be sent on trial, counted from the quarantine or the last
    /// trial. Upstreams that crashed are back after some seconds, and all gateways know of the crash by
    /// then.
    pub trial_delay: Duration,
    /// The most trials of a request, over all gateways: each may cost an upstream.
    pub max_trials: u32,
    /// A trial without a result after this time is treated as lost with its gateway.
    pub trial_timeout: Duration,
    /// How long a crash is published to peers after it was recorded. It is sent several times during
    /// this time, and each message costs bytes.
    pub publish_for: Duration,
    /// How long the crashes of a request that is rarely repeated count.
    pub suspect_ttl: Duration,
    /// How long cleared crashes are kept: peers may still publish them.
    pub cleared_ttl: Duration,
    /// The most requests that are kept, at about 200 bytes each. Only a crash of an upstream adds
    /// requests, so filling this takes crashes of hundreds of upstreams.
    pub max_requests: usize,
    /// The most requests that are kept for one crash.
    pub max_requests_per_crash: usize,
    /// The most crashes that are kept for one request.
    pub max_crashes_per_request: usize,
}

impl Default for FatalConfig {
    fn default() -> Self {
        Self {
            quarantine_threshold: 3,
            trial_delay: Duration::from_secs(5),
            max_trials: 2,
            trial_timeout: Duration::from_secs(30),
            publish_for: Duration::from_secs(3),
            suspect_ttl: Duration::from_secs(24 * 3_600),
            cleared_ttl: Duration::from_secs(60),
            max_requests: 4_096,
            max_requests_per_crash: 128,
            max_crashes_per_request: 16,
        }
    }
}
