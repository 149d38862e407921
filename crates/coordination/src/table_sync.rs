//! Two connected processes bring each other up to the newer table.

use stallhoist_core::Revision;
use stallhoist_wire::FrameSender;
use stallhoist_wire::table_pull;
use stallhoist_wire::table_to_wire;

use crate::ActiveTable;

impl ActiveTable {
    /// A peer has said which revision it holds: whoever is behind gets the table.
    pub fn sync_with_peer(&self, peer: &FrameSender, theirs: Revision) {
        let ours = self.revision();
        if theirs > ours {
            self.request_snapshot(peer);
        } else if theirs < ours {
            self.send_snapshot(peer);
        }
    }

    /// Sends the whole table in force, if there is one.
    pub fn send_snapshot(&self, to: &FrameSender) {
        if let Some(table) = self.current() {
            to.send_or_close(table_to_wire(&table));
        }
    }

    /// Asks a peer for the whole table.
    pub fn request_snapshot(&self, from: &FrameSender) {
        from.send_or_close(table_pull(self.revision()));
    }
}
