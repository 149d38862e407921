//! Which entries follow the store, and whom the others ask.

use std::cmp::Reverse;
use std::net::SocketAddr;

use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use stallhoist_core::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::control_store::ListedEntry;

/// Entries that follow the store. Three, so that the loss of two still leaves one; each
/// more costs as many calls to the store as the first.
pub(super) const RELAYS: usize = 3;

/// How many entries one asks before it asks the store itself. More than the three, as
/// some that are listed may be gone.
const MAX_POLL_TARGETS: usize = 5;

/// Where an entry stands in the order in which entries are relays: those with the fastest links first, as a relay sends
/// news to all that ask it. By the hash alone, three of 32 entries with 10 Mbit/s each sent them
/// while six had 200, and news of 0.75 MB took 0.8 s to reach the relays. Among equals a hash
/// of the host decides, which all entries compute alike.
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

/// The entries of the system.
#[derive(Debug)]
pub struct PeerList {
    own: HostId,
    own_zone: ZoneName,
    /// In the order in which they are relays.
    entries: Vec<(Rank, ListedEntry)>,
}

impl PeerList {
    /// Nobody but the entry itself is known yet.
    pub fn new(own: HostId, own_zone: ZoneName) -> Self {
        Self { own, own_zone, entries: Vec::new() }
    }

    /// An entry listed itself.
    pub fn add(&mut self, entry: ListedEntry) {
        self.entries.retain(|(_, known)| known.host != entry.host);
        let rank = Rank::of(&entry);
        let place = self.entries.partition_point(|(known, _)| *known < rank);
        self.entries.insert(place, (rank, entry));
    }

    /// The entry's own row is not in the list.
    pub fn remove_local(&mut self) {
        self.entries.retain(|(_, known)| known.host != self.own);
    }

    /// How many entries are listed, also such as have gone since.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// A number by which entries differ, so that they do not all begin with the same one.
    pub(super) fn rotation_offset(&self) -> usize {
        hash_of(&self.own) as usize
    }

    /// Whether an entry is listed, as it is.
    pub fn is_listed(&self, entry: &ListedEntry) -> bool {
        self.in_order().any(|add| add == entry)
    }

    /// The entries that follow the store, as far as they are listed.
    pub fn relays(&self) -> Vec<HostId> {
        self.relay_entries().iter().map(|entry| entry.host.clone()).collect()
    }

    /// The other entries that follow the store, if this one does.
    pub fn other_relays(&self) -> Vec<(HostId, SocketAddr)> {
        if !self.poll_targets().is_empty() {
            return Vec::new();
        }
        let relays = self.relay_entries();
        let others = relays.iter().filter(|entry| entry.host != self.own);
        others.map(|entry| (entry.host.clone(), entry.peers_addr)).collect()
    }

    /// Whom this entry asks, in order; nobody if it follows the store itself. Each begins
    /// with a relay of its own availability zone, as bytes between zones have a price; where
    /// there is none, with another one each, so that they share the work.
    pub fn poll_targets(&self) -> Vec<(HostId, SocketAddr)> {
        let mut relays = self.relay_entries();
        let is_relay = relays.iter().any(|entry| entry.host == self.own);
        if self.entries.len() <= RELAYS || is_relay {
            return Vec::new();
        }
        let is_other = |entry: &&ListedEntry| entry.host != self.own && !relays.contains(entry);
        let others: Vec<_> = self.in_order().filter(is_other).collect();
        let begin = self.rotation_offset() % relays.len().max(1);
        relays.rotate_left(begin);
        relays.sort_by_key(|relay| relay.zone.as_ref() != Some(&self.own_zone));
        let poll_targets = relays.into_iter().chain(others).take(MAX_POLL_TARGETS);
        poll_targets.map(|entry| (entry.host.clone(), entry.peers_addr)).collect()
    }

    /// The entries that follow the store: of those whose links are no slower than that of the
    /// third in order, one of each availability zone first.
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

    /// All entries, in the order in which they are relays.
    fn in_order(&self) -> impl Iterator<Item = &ListedEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }
}

fn hash_of(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
