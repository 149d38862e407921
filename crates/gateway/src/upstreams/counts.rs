//! How many upstreams are what, for metrics.

use stallhoist_core::MonoTime;

use super::Upstreams;

/// How many upstreams are what, for metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamCounts {
    pub(crate) known: usize,
    pub(crate) cold: usize,
    /// Those that name a limit.
    pub(crate) limited: usize,
    /// Those that have asked this entry for rest.
    pub(crate) resting: usize,
    /// The availability zones whose upstreams get nothing more.
    pub(crate) emptied_zones: usize,
}

impl Upstreams {
    /// How many there are now; of cold ones, when they were looked at last.
    pub(crate) fn counts(&self, now: MonoTime) -> UpstreamCounts {
        let known = self.known.lock();
        UpstreamCounts {
            known: known.directory.len(),
            cold: known.cold_counts.values().sum(),
            limited: known.limits.count(),
            resting: known.rests.count(now),
            emptied_zones: known.emptied_zones.count(),
        }
    }
}
