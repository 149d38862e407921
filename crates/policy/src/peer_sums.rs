//! Sums over gateways of what each of them last reported.
//!
//! Invariant: the total is the sum of the updates that are kept, so that replacing or dropping an update
//! subtracts just what it added.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

/// Time to live of a peer's update. Peers send several updates in that time.
const UPDATE_TTL: Duration = Duration::from_millis(1_000);

/// A quantity that adds up over gateways. Subtraction undoes an addition exactly, so it counts in integers.
pub trait Summable: Copy + Default + PartialEq {
    /// The most entries that a single peer's update may have; the rest is ignored.
    const MAX_ENTRIES: usize;

    /// Sum of both, saturating.
    #[must_use]
    fn plus(self, other: Self) -> Self;

    /// Difference of both, saturating.
    #[must_use]
    fn minus(self, other: Self) -> Self;

    /// The value within the bounds on what a single peer may claim.
    #[must_use]
    fn bounded(self) -> Self;
}

#[derive(Debug)]
struct PeerUpdate<K, V> {
    received: MonoTime,
    values: HashMap<K, V>,
}

/// What peers reported by key, by peer and in total.
#[derive(Debug)]
pub struct PeerSums<K, V> {
    by_host: HashMap<HostId, PeerUpdate<K, V>>,
    total: HashMap<K, V>,
}

impl<K, V> Default for PeerSums<K, V> {
    fn default() -> Self {
        Self { by_host: HashMap::new(), total: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash, V: Summable> PeerSums<K, V> {
    /// Replaces what a peer reported by what it has sent now.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        host: HostId,
        values: impl IntoIterator<Item = (K, V)>,
    ) {
        self.remove(&host);
        let mut bounded = HashMap::new();
        for (key, value) in values.into_iter().take(V::MAX_ENTRIES) {
            bounded.insert(key, value.bounded());
        }
        for (key, value) in &bounded {
            let total = self.total.entry(*key).or_default();
            *total = total.plus(*value);
        }
        self.by_host.insert(host, PeerUpdate { received: now, values: bounded });
    }

    /// Whether any peer has sent an update lately.
    pub fn is_known(&self) -> bool {
        !self.by_host.is_empty()
    }

    /// Drops updates that are past their time to live.
    pub fn expire(&mut self, now: MonoTime) {
        let is_expired = |update: &PeerUpdate<K, V>| now.since(update.received) >= UPDATE_TTL;
        let expired = self.by_host.iter().filter(|(_, update)| is_expired(update));
        let expired: Vec<_> = expired.map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.remove(&host);
        }
    }

    /// Sum of all peers for a key.
    pub fn on(&self, key: K) -> V {
        self.total.get(&key).copied().unwrap_or_default()
    }

    /// Adds the values of the peers for which `included` holds to `sum`.
    pub fn sum_into(&self, sum: &mut HashMap<K, V>, included: impl Fn(&HostId) -> bool) {
        let updates = self.by_host.iter().filter(|(host, _)| included(host));
        for (key, value) in updates.flat_map(|(_, update)| &update.values) {
            let total = sum.entry(*key).or_default();
            *total = total.plus(*value);
        }
    }

    fn remove(&mut self, host: &HostId) {
        let Some(update) = self.by_host.remove(host) else {
            return;
        };
        for (key, value) in update.values {
            let Some(total) = self.total.get_mut(&key) else {
                continue;
            };
            *total = total.minus(value);
            if *total == V::default() {
                self.total.remove(&key);
            }
        }
    }
}
