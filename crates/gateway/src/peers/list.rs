//! Which entries follow the store, and whom the others ask.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stallhoist_core::HostId;
use xxhash_rust::xxh3::xxh3_64;

use crate::control_store::ListedEntry;

/// Entries that follow the store. Three, so that the loss of two still leaves one; each
/// more costs as many calls to the store as the first.
const RELAYS: usize = 3;

/// How many entries one asks before it asks the store itself. More than the three, as
/// some that are listed may be gone.
const MAX_ASKED: usize = 5;

/// The entries of the system.
#[derive(Debug)]
pub struct PeerList {
    own: HostId,
    /// By a hash of the host, which is the order in which they are relays.
    entries: BTreeMap<(u64, HostId), SocketAddr>,
}

impl PeerList {
    /// Nobody but the entry itself is known yet.
    pub fn new(own: HostId) -> Self {
        Self { own, entries: BTreeMap::new() }
    }

    /// An entry listed itself.
    pub fn listed(&mut self, entry: ListedEntry) {
        self.entries.insert(order_of(&entry.host), entry.peers_addr);
    }

    /// How many entries are listed, also such as have gone since.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Whether this entry is listed at an address.
    pub fn is_listed_at(&self, addr: SocketAddr) -> bool {
        self.entries.get(&order_of(&self.own)) == Some(&addr)
    }

    /// The entries that follow the store, as far as they are listed.
    pub fn relays(&self) -> Vec<HostId> {
        self.entries.keys().take(RELAYS).map(|(_, host)| host.clone()).collect()
    }

    /// The other entries that follow the store, if this one does.
    pub fn other_relays(&self) -> Vec<(HostId, SocketAddr)> {
        if !self.asked().is_empty() {
            return Vec::new();
        }
        let own = order_of(&self.own);
        let relays = self.entries.iter().take(RELAYS).filter(|(key, _)| **key != own);
        relays.map(|((_, host), addr)| (host.clone(), *addr)).collect()
    }

    /// Whom this entry asks, in order; nobody if it follows the store itself. Each begins
    /// with another one of the relays, so that they share the work.
    pub fn asked(&self) -> Vec<(HostId, SocketAddr)> {
        let own = order_of(&self.own);
        let ahead = self.entries.keys().take(RELAYS);
        if self.entries.len() <= RELAYS || ahead.into_iter().any(|key| *key == own) {
            return Vec::new();
        }
        let others = self.entries.iter().filter(|(key, _)| **key != own);
        let mut asked: Vec<_> =
            others.map(|((_, host), addr)| (host.clone(), *addr)).take(MAX_ASKED).collect();
        let relays = RELAYS.min(asked.len());
        asked[..relays].rotate_left(own.0 as usize % relays.max(1));
        asked
    }
}

fn order_of(host: &HostId) -> (u64, HostId) {
    (xxh3_64(host.as_str().as_bytes()), host.clone())
}
