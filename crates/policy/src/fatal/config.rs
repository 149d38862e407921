//! How ends of upstreams are laid at requests' doors.

use std::time::Duration;

/// How ends of upstreams are laid at requests' doors.
#[derive(Debug, Clone)]
pub struct FatalConfig {
    /// A request under which so many upstreams have ended is held back, unless others explain all
    /// of these ends. Two would hold back requests that ran twice beside a fatal one by bad luck.
    pub quarantine_threshold: usize,
    /// How long after it was held back, or tried last, a request may be tried again. Upstreams that
    /// ended are back after some seconds, and all entries have heard of it by then.
    pub trial_delay: Duration,
    /// How often it is tried again in all, by all entries: each may cost an upstream.
    pub max_trials: u32,
    /// A try that has no outcome after this time is taken for lost with its entry.
    pub trial_timeout: Duration,
    /// For how long others are told of an end after it was learnt: they are told several times in
    /// this time, and each message costs bytes.
    pub publish_for: Duration,
    /// How long ends under a request count that comes again rarely.
    pub suspect_ttl: Duration,
    /// How long it is remembered that ends do not count any more: others may still tell of them.
    pub cleared_ttl: Duration,
    /// The most requests that are remembered, of some 200 bytes each. Only the end of an upstream
    /// adds one, so it takes the ends of hundreds of upstreams to fill this.
    pub max_requests: usize,
    /// The most requests that are remembered for one end.
    pub max_requests_per_crash: usize,
    /// The most ends that are remembered of one request.
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
