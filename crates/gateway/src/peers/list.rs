//! Selects the relays, which follow the store, and the gateways that each other gateway polls.

use std::cmp::Reverse;
use std::net::SocketAddr;

use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use stallhoist_core::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::control_store::ListedEntry;

/// Number of gateways that follow the store. With three, the loss of two still leaves one; each
/// further relay adds as many store calls as the first.
pub(super) const RELAYS: usize = 3;

/// Maximum number of gateways polled before the store is queried directly. It exceeds the number of
/// relays, as some listed gateways may be gone.
const MAX_POLL_TARGETS: usize = 5;

/// Order in which gateways become relays: the fastest links first, as a relay serves all its
/// pollers. By the hash alone, three of 32 gateways with 10 Mbit/s links became relays while six
/// had 200, and an update of 0.75 MB took 0.8 s to reach the relays. Ties are broken by a hash of
/// the host, which all gateways compute alike.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    link: Reverse<LinkRate>,
    hash: u64,
    host: HostId,
}

impl Rank {
    fn of(entry: &ListedEntry) -> Self {
        Self { link: Reverse(entry.link), hash: hash_of(&entry.host), host: entry.host.clone() }
    }
}

/// The gateways of the system.
#[derive(Debug)]
pub struct PeerList {
    local: HostId,
    local_zone: ZoneName,
    /// In relay order.
    entries: Vec<(Rank, ListedEntry)>,
}

impl PeerList {
    /// Creates a list that does not yet hold any gateway, the local one included.
    pub fn new(local: HostId, local_zone: ZoneName) -> Self {
        Self { local, local_zone, entries: Vec::new() }
    }

    /// Adds a gateway, or replaces the record of the same host.
    pub fn add(&mut self, entry: ListedEntry) {
        self.entries.retain(|(_, known)| known.host != entry.host);
        let rank = Rank::of(&entry);
        let position = self.entries.partition_point(|(known, _)| *known < rank);
        self.entries.insert(position, (rank, entry));
    }

    /// Removes the local gateway, whose row is missing in the store.
    pub fn remove_local(&mut self) {
        self.entries.retain(|(_, known)| known.host != self.local);
    }

    /// Whether this host is listed, by this process or an earlier one.
    pub fn is_local_listed(&self) -> bool {
        self.in_order().any(|entry| entry.host == self.local)
    }

    /// Number of listed gateways, including those that have gone since.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// A number that differs between gateways, so that they do not all start with the same target.
    pub(super) fn rotation_offset(&self) -> usize {
        hash_of(&self.local) as usize
    }

    /// Whether the list holds exactly this record.
    pub fn is_listed(&self, entry: &ListedEntry) -> bool {
        self.in_order().any(|add| add == entry)
    }

    /// The listed gateways that follow the store.
    pub fn relays(&self) -> Vec<HostId> {
        self.relay_entries().iter().map(|entry| entry.host.clone()).collect()
    }

    /// The position of this gateway in the order in which all gateways take a duty over: the relays first, as the
    /// counts of all gateways reach them. The last one if it is not listed.
    pub fn duty_rank(&self) -> usize {
        let relays = self.relay_entries();
        let others = self.in_order().filter(|entry| !relays.contains(entry));
        let mut all = relays.iter().copied().chain(others);
        all.position(|entry| entry.host == self.local).unwrap_or(self.entries.len())
    }

    /// The other relays, if this gateway is a relay.
    pub fn other_relays(&self) -> Vec<(HostId, SocketAddr)> {
        if !self.poll_targets().is_empty() {
            return Vec::new();
        }
        let relays = self.relay_entries();
        let others = relays.iter().filter(|entry| entry.host != self.local);
        others.map(|entry| (entry.host.clone(), entry.peers_addr)).collect()
    }

    /// The gateways that this one polls, in order; empty if it follows the store itself. A relay of
    /// the same availability zone comes first, as traffic between zones is charged; without one,
    /// the first relay differs between gateways, which spreads the load.
    pub fn poll_targets(&self) -> Vec<(HostId, SocketAddr)> {
        let mut relays = self.relay_entries();
        let is_relay = relays.iter().any(|entry| entry.host == self.local);
        if self.entries.len() <= RELAYS || is_relay {
            return Vec::new();
        }
        let is_other = |entry: &&ListedEntry| entry.host != self.local && !relays.contains(entry);
        let others: Vec<_> = self.in_order().filter(is_other).collect();
        let offset = self.rotation_offset() % relays.len().max(1);
        relays.rotate_left(offset);
        relays.sort_by_key(|relay| relay.zone.as_ref() != Some(&self.local_zone));
        let targets = relays.into_iter().chain(others).take(MAX_POLL_TARGETS);
        targets.map(|entry| (entry.host.clone(), entry.peers_addr)).collect()
    }

    /// The relays: among the gateways whose links are no slower than that of the third in order,
    /// one of each availability zone first.
    fn relay_entries(&self) -> Vec<&ListedEntry> {
        let slowest = self.in_order().nth(RELAYS - 1).map_or(LinkRate::default(), |e| e.link);
        let fast = || self.in_order().take_while(|entry| entry.link >= slowest);
        let mut relays: Vec<&ListedEntry> = Vec::new();
        for entry in fast() {
            if !relays.iter().any(|relay| relay.zone == entry.zone) {
                relays.push(entry);
            }
        }
        relays.truncate(RELAYS);
        for entry in fast() {
            if relays.len() < RELAYS && !relays.contains(&entry) {
                relays.push(entry);
            }
        }
        relays
    }

    /// All gateways in relay order.
    fn in_order(&self) -> impl Iterator<Item = &ListedEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }
}

fn hash_of(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
