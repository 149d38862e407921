//! Numbers of upstreams by state, for metrics.

use stallhoist_core::MonoTime;

use super::Upstreams;

/// Numbers of upstreams by state, for metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamCounts {
    pub(crate) known: usize,
    pub(crate) cold: usize,
    /// Upstreams that report a rate limit.
    pub(crate) limited: usize,
    /// Upstreams that have requested a back-off from this gateway.
    pub(crate) resting: usize,
    /// Availability zones whose upstreams get no new requests.
    pub(crate) emptied_zones: usize,
}

impl Upstreams {
    /// The current numbers; `cold` is as of the last [`check_warm_up`](Self::check_warm_up).
    pub(crate) fn counts(&self, now: MonoTime) -> UpstreamCounts {
        let state = self.state.lock();
        UpstreamCounts {
            known: state.directory.len(),
            cold: state.cold_counts.values().sum(),
            limited: state.limits.count(),
            resting: state.backoffs.count(now),
            emptied_zones: state.emptied_zones.count(),
        }
    }
}
