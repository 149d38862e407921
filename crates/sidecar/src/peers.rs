//! The connected entries.

use std::collections::BTreeMap;

use stallhoist_core::IncarnationId;
use stallhoist_core::Revision;
use stallhoist_wire::FrameSender;
use stallhoist_wire::Identity;
use stallhoist_wire::messages::frame::Body;

/// A connected entry.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) identity: Identity,
    pub(crate) sender: FrameSender,
    pub(crate) revision: Revision,
}

/// The connected entries. A new connection of an entry replaces its earlier one.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_incarnation: BTreeMap<IncarnationId, Peer>,
}

impl Peers {
    pub(crate) fn add(&mut self, peer: Peer) {
        self.by_incarnation.insert(peer.identity.incarnation, peer);
    }

    /// Removes an entry unless it has reconnected meanwhile.
    pub(crate) fn remove(&mut self, incarnation: IncarnationId, sender: &FrameSender) {
        let held = self.by_incarnation.get(&incarnation);
        if held.is_some_and(|peer| peer.sender.is_same_connection(sender)) {
            self.by_incarnation.remove(&incarnation);
        }
    }

    pub(crate) fn record_revision(&mut self, incarnation: IncarnationId, revision: Revision) {
        if let Some(peer) = self.by_incarnation.get_mut(&incarnation) {
            peer.revision = peer.revision.max(revision);
        }
    }

    pub(crate) fn all(&self) -> Vec<Peer> {
        self.by_incarnation.values().cloned().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Sends to all entries whose send queue has room. The others receive the state with a later
    /// status message.
    pub(crate) fn broadcast(&self, body: &Body) {
        for peer in self.by_incarnation.values() {
            let _ = peer.sender.try_send(body.clone());
        }
    }
}
