//! Which entries follow the store, and whom the others ask.

use std::cmp::Reverse;
use std::net::SocketAddr;

use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use xxhash_rust::xxh3::xxh3_64;

use crate::control_store::ListedEntry;

/// Entries that follow the store. Three, so that the loss of two still leaves one; each
/// more costs as many calls to the store as the first.
const RELAYS: usize = 3;

/// How many entries one asks before it asks the store itself. More than the three, as
/// some that are listed may be gone.
const MAX_ASKED: usize = 5;

/// The order in which entries are relays: those with the fastest links first, as a relay sends
/// news to all that ask it. By the hash alone, three of 32 entries with 10 Mbit/s each sent them
/// while six had 200, and news of 0.75 MB took 0.8 s to reach the relays. Among equals a hash
/// of the host decides, which all entries compute alike.
type Rank = (Reverse<LinkRate>, u64, HostId);

/// The entries of the system.
#[derive(Debug)]
pub struct PeerList {
    own: HostId,
    /// In the order in which they are relays.
    entries: Vec<(Rank, ListedEntry)>,
}

impl PeerList {
    /// Nobody but the entry itself is known yet.
    pub fn new(own: HostId) -> Self {
        Self { own, entries: Vec::new() }
    }

    /// An entry listed itself.
    pub fn listed(&mut self, entry: ListedEntry) {
        self.entries.retain(|(_, known)| known.host != entry.host);
        let rank = rank_of(&entry);
        let place = self.entries.partition_point(|(known, _)| *known < rank);
        self.entries.insert(place, (rank, entry));
    }

    /// How many entries are listed, also such as have gone since.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Whether an entry is listed, as it is.
    pub fn is_listed(&self, entry: &ListedEntry) -> bool {
        self.in_order().any(|listed| listed == entry)
    }

    /// The entries that follow the store, as far as they are listed.
    pub fn relays(&self) -> Vec<HostId> {
        self.in_order().take(RELAYS).map(|entry| entry.host.clone()).collect()
    }

    /// The other entries that follow the store, if this one does.
    pub fn other_relays(&self) -> Vec<(HostId, SocketAddr)> {
        if !self.asked().is_empty() {
            return Vec::new();
        }
        let relays = self.in_order().take(RELAYS).filter(|entry| entry.host != self.own);
        relays.map(|entry| (entry.host.clone(), entry.peers_addr)).collect()
    }

    /// Whom this entry asks, in order; nobody if it follows the store itself. Each begins
    /// with another one of the relays, so that they share the work.
    pub fn asked(&self) -> Vec<(HostId, SocketAddr)> {
        let is_relay = self.in_order().take(RELAYS).any(|entry| entry.host == self.own);
        if self.entries.len() <= RELAYS || is_relay {
            return Vec::new();
        }
        let others = self.in_order().filter(|entry| entry.host != self.own);
        let mut asked: Vec<_> =
            others.map(|entry| (entry.host.clone(), entry.peers_addr)).take(MAX_ASKED).collect();
        let relays = RELAYS.min(asked.len());
        asked[..relays].rotate_left(hash_of(&self.own) as usize % relays.max(1));
        asked
    }

    /// All entries, in the order in which they are relays.
    fn in_order(&self) -> impl Iterator<Item = &ListedEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }
}

fn rank_of(entry: &ListedEntry) -> Rank {
    (Reverse(entry.link), hash_of(&entry.host), entry.host.clone())
}

fn hash_of(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
