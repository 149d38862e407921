//! Synchronisation of the table between two connected processes.

use stallhoist_core::Revision;
use stallhoist_wire::FrameSender;
use stallhoist_wire::table_pull;
use stallhoist_wire::table_to_wire;

use crate::ActiveTable;

impl ActiveTable {
    /// Compares the revision of a peer with the active one: requests or sends a snapshot.
    pub fn sync_with_peer(&self, peer: &FrameSender, theirs: Revision) {
        let ours = self.revision();
        if theirs > ours {
            self.request_snapshot(peer);
        } else if theirs < ours {
            self.send_snapshot(peer);
        }
    }

    /// Sends a snapshot of the active table, if there is one.
    pub fn send_snapshot(&self, to: &FrameSender) {
        if let Some(table) = self.current() {
            to.send_or_close(table_to_wire(&table));
        }
    }

    /// Requests a snapshot from a peer.
    pub fn request_snapshot(&self, from: &FrameSender) {
        from.send_or_close(table_pull(self.revision()));
    }
}
