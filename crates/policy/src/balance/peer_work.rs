//! The work that other entries have in progress, as they told it.
//!
//! An entry that knows its own work alone expected first parts after 24 ms that came after
//! 244 ms in the mean; with what others told it expected 27 and they came after 73 (three
//! entries before twelve engines, two seeds of three days).

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What an entry told is believed for so long: it tells it several times in that time.
const BELIEVED_FOR: Duration = Duration::from_millis(1_000);

/// The most upstreams that are taken from one entry's news, and the most work on one of them
/// that is believed, whatever it says.
const MAX_UPSTREAMS: usize = 2_000;
const MAX_REQUESTS: u32 = 10_000;
const MAX_READING_MS: u32 = 60_000;

/// A start of an upstream in news between entries: a hash of its id and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u64);

impl UpstreamKey {
    /// The key of a start of an upstream.
    pub fn of(start: &UpstreamIncarnation) -> Self {
        let seed = start.started.map_or(0, |started| started.0);
        Self(xxh3_64_with_seed(start.instance.as_str().as_bytes(), seed))
    }
}

/// Work in progress on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkInProgress {
    /// Requests in progress.
    pub requests: u32,
    /// How long it is expected to read their prompts, in milliseconds.
    pub prefill_ms: u32,
}

impl WorkInProgress {
    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            prefill_ms: self.prefill_ms.saturating_add(other.prefill_ms),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prefill_ms: self.prefill_ms.saturating_sub(other.prefill_ms),
        }
    }

    fn bounded(self) -> Self {
        Self {
            requests: self.requests.min(MAX_REQUESTS),
            prefill_ms: self.prefill_ms.min(MAX_READING_MS),
        }
    }
}

/// Work in progress by upstream.
pub type WorkByUpstream = HashMap<UpstreamKey, WorkInProgress>;

#[derive(Debug)]
struct Told {
    at: MonoTime,
    work: WorkByUpstream,
}

/// The work that other entries have in progress, as each told it last.
#[derive(Debug, Default)]
pub struct PeerWork {
    by_host: HashMap<HostId, Told>,
    total: WorkByUpstream,
}

impl PeerWork {
    /// An entry tells its work, in place of what it told before.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        host: HostId,
        work: impl IntoIterator<Item = (UpstreamKey, WorkInProgress)>,
    ) {
        self.forget(&host);
        let mut bounded = WorkByUpstream::new();
        for (key, work) in work.into_iter().take(MAX_UPSTREAMS) {
            bounded.insert(key, work.bounded());
        }
        for (key, work) in &bounded {
            let total = self.total.entry(*key).or_default();
            *total = total.plus(*work);
        }
        self.by_host.insert(host, Told { at: now, work: bounded });
    }

    /// Drops what is too old to be believed.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |told: &Told| now.since(told.at) >= BELIEVED_FOR;
        let old = self.by_host.iter().filter(|(_, told)| is_old(told));
        let old: Vec<_> = old.map(|(host, _)| host.clone()).collect();
        for host in old {
            self.forget(&host);
        }
    }

    /// What all others together have in progress on an upstream.
    pub fn on(&self, upstream: UpstreamKey) -> WorkInProgress {
        self.total.get(&upstream).copied().unwrap_or_default()
    }

    /// Adds what the entries that are `included` have in progress.
    pub fn sum_into(&self, sum: &mut WorkByUpstream, included: impl Fn(&HostId) -> bool) {
        let told = self.by_host.iter().filter(|(host, _)| included(host));
        for (key, work) in told.flat_map(|(_, told)| &told.work) {
            let total = sum.entry(*key).or_default();
            *total = total.plus(*work);
        }
    }

    fn forget(&mut self, host: &HostId) {
        let Some(told) = self.by_host.remove(host) else {
            return;
        };
        for (key, work) in told.work {
            let Some(total) = self.total.get_mut(&key) else {
                continue;
            };
            *total = total.minus(work);
            if *total == WorkInProgress::default() {
                self.total.remove(&key);
            }
        }
    }
}
