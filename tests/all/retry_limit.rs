//! The platform's limit on retries, which holds for a service over all gateways together.

use std::time::Duration;

use stallhoist_settings::GatewayRetrySettings;

/// The period over which the platform counts.
const WINDOW: Duration = Duration::from_secs(10);

/// When the requests for a service were sent, and when arrivals beyond the first of a request reached its
/// upstreams. Both in order of time.
#[derive(Debug, Default)]
pub(crate) struct RetryTrace {
    pub(crate) requests: Vec<Duration>,
    pub(crate) retries: Vec<Duration>,
}

impl RetryTrace {
    /// The most by which retries exceed the limit in any window; negative if they stay within it.
    pub(crate) fn worst_excess(&self, settings: &GatewayRetrySettings) -> f64 {
        let excess = |from: &Duration| {
            let allowed = settings.fleet_ratio * self.counted_requests(*from) as f64;
            let retries = count(&self.retries, *from, *from + WINDOW) as f64;
            retries - allowed - settings.fleet_slack
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }

    /// The requests of a window, of the one before it or of the one half a window before it, whichever holds the
    /// most.
    fn counted_requests(&self, from: Duration) -> usize {
        let in_window = |earlier: Duration| match from.checked_sub(earlier) {
            Some(from) => count(&self.requests, from, from + WINDOW),
            None => count(&self.requests, Duration::ZERO, from + WINDOW - earlier),
        };
        let counts = [Duration::ZERO, WINDOW / 2, WINDOW].map(in_window);
        counts.into_iter().max().unwrap_or_default()
    }
}

/// The number of times from `from` until before `to`, in a list in order.
fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}
