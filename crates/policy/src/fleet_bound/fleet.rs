//! The entries among which an upstream's requests are divided.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::rank::Rank;
use super::rank::RankCache;
use crate::balance::UpstreamKey;

/// An entry that is new counts itself in only so long after it has listed itself: until then some
/// of the others may still divide among themselves alone. News of the list take up to 2 s.
const COUNTED_AFTER: Duration = Duration::from_secs(3);

/// The longest that a request counts which an earlier process on this host may have sent just before
/// the start of this one.
const EARLIER_PROCESS_COUNTS: Duration = Duration::from_millis(1_100);

/// The entries of the system, as one of them knows them.
#[derive(Debug)]
pub struct Fleet {
    own: u64,
    entries: BTreeMap<HostId, u64>,
    /// From when on it counts itself. Not at once after the start of its clock: an earlier process on
    /// its host may have used its part just before.
    counted_from: MonoTime,
    /// Rises with each change.
    generation: u64,
}

impl Fleet {
    /// Nobody is known yet, not even the entry itself: it may be one of hundreds.
    pub fn new(own: &HostId) -> Self {
        Self {
            own: hash_of(own),
            entries: BTreeMap::new(),
            counted_from: MonoTime::default().after(EARLIER_PROCESS_COUNTS),
            generation: 0,
        }
    }

    /// An entry is listed.
    pub fn add_gateway(&mut self, host: HostId) {
        let hash = hash_of(&host);
        if self.entries.insert(host, hash).is_none() {
            self.generation += 1;
        }
    }

    /// This entry is about to list itself. Nothing changes if it is listed already, by an earlier
    /// process on its host: the others count it.
    pub fn announce_self(&mut self, now: MonoTime) {
        if !self.entries.values().any(|hash| *hash == self.own) {
            self.counted_from = now.after(COUNTED_AFTER);
        }
    }

    /// How many entries are listed.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Where this entry stands among all for a start of an upstream; none while it is not listed, or
    /// the others may not count it yet.
    pub(crate) fn rank_for(
        &self,
        now: MonoTime,
        upstream: UpstreamKey,
        cache: &RankCache,
    ) -> Option<Rank> {
        let rank = cache.get(self.generation, || self.rank(upstream));
        rank.filter(|_| now >= self.counted_from)
    }

    /// Where this entry stands among all for an upstream, by a hash; none while it is not listed.
    /// Each entry that comes or goes moves the others by one place at most.
    fn rank(&self, upstream: UpstreamKey) -> Option<Rank> {
        let weight = |hash: u64| xxh3_64_with_seed(&hash.to_le_bytes(), upstream.0);
        let own = weight(self.own);
        let mut place = 0;
        let mut is_listed = false;
        for hash in self.entries.values() {
            is_listed |= *hash == self.own;
            place += u32::from(weight(*hash) < own);
        }
        is_listed.then_some(Rank { place, entries: self.len() })
    }
}

fn hash_of(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
