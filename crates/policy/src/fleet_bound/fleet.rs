//! The gateways among which the requests to an upstream are divided.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::rank::Rank;
use super::rank::RankCache;
use crate::balance::UpstreamKey;

/// A new gateway uses its share only this long after it has listed itself: until then peers may still
/// divide the bound among themselves alone. A change of the list takes up to 2 s to reach them.
const LISTING_DELAY: Duration = Duration::from_secs(3);

/// How long requests count that an earlier process on this host may have sent just before this one started.
const PREDECESSOR_WINDOW: Duration = Duration::from_millis(1_100);

/// The gateways of the system, as one of them knows them.
#[derive(Debug)]
pub struct Fleet {
    local: u64,
    gateways: BTreeMap<HostId, u64>,
    /// When this gateway may begin to use its share. Later than the start of its clock, as an earlier
    /// process on its host may have used the share just before.
    usable_from: MonoTime,
    /// Increases with each change; invalidates cached ranks.
    generation: u64,
    /// Whether this gateway is among `gateways`.
    is_local_listed: bool,
}

impl Fleet {
    /// Starts with no gateway known, not even this one: it may be one of hundreds.
    pub fn new(local: &HostId) -> Self {
        Self {
            local: hash_of(local),
            gateways: BTreeMap::new(),
            usable_from: MonoTime::default().after(PREDECESSOR_WINDOW),
            generation: 0,
            is_local_listed: false,
        }
    }

    /// Adds a listed gateway.
    pub fn add_gateway(&mut self, host: HostId) {
        let hash = hash_of(&host);
        self.is_local_listed |= hash == self.local;
        if self.gateways.insert(host, hash).is_none() {
            self.generation += 1;
        }
    }

    /// Notes that this gateway is about to list itself. Has no effect if an earlier process on its host
    /// is still listed: peers already count it.
    pub fn announce_self(&mut self, now: MonoTime) {
        if !self.is_local_listed {
            self.usable_from = now.after(LISTING_DELAY);
        }
    }

    /// Number of listed gateways.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// Whether peers count this gateway among those that share the bounds on upstreams.
    pub(crate) fn is_counted(&self, now: MonoTime) -> bool {
        self.is_local_listed && now >= self.usable_from
    }

    /// A number that differs between gateways, upstreams and rounds.
    pub(crate) fn draw(&self, upstream: UpstreamKey, round: u64) -> u64 {
        let seed = xxh3_64_with_seed(&round.to_le_bytes(), upstream.0);
        xxh3_64_with_seed(&self.local.to_le_bytes(), seed)
    }

    /// The rank of this gateway for an upstream; none while it is not listed or peers may not count it yet.
    pub(crate) fn rank_for(
        &self,
        now: MonoTime,
        upstream: UpstreamKey,
        cache: &RankCache,
    ) -> Option<Rank> {
        let rank = cache.get(self.generation, || self.rank(upstream));
        rank.filter(|_| now >= self.usable_from)
    }

    /// The rank of this gateway for an upstream by rendezvous hashing; none while it is not listed. A
    /// gateway that joins or leaves moves every other by at most one rank.
    fn rank(&self, upstream: UpstreamKey) -> Option<Rank> {
        let weight = |hash: u64| xxh3_64_with_seed(&hash.to_le_bytes(), upstream.0);
        let local = weight(self.local);
        let mut place = 0;
        let mut is_listed = false;
        for hash in self.gateways.values() {
            is_listed |= *hash == self.local;
            place += u32::from(weight(*hash) < local);
        }
        is_listed.then_some(Rank { place, entries: self.len() })
    }
}

fn hash_of(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
