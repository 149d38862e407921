//! Spreading the table among the entries that are connected.

use std::sync::Arc;

use stallhoist_coordination::Installed;
use stallhoist_core::Revision;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::messages::TableEdit;
use stallhoist_wire::messages::TableHeld;
use stallhoist_wire::messages::TableProgress;
use stallhoist_wire::messages::TablePull;
use stallhoist_wire::messages::TableSnapshot;
use stallhoist_wire::messages::frame::Body;

use crate::shared::Shared;

/// A whole table came.
pub(crate) fn take_snapshot(shared: &Shared, message: &TableSnapshot) -> Result<(), WireError> {
    let table: Table = serde_json::from_slice(&message.table_json)
        .map_err(|_| WireError::BadField("table_json"))?;
    if shared.table.install(table) == Installed::Newer {
        announce(shared);
        send_to_older(shared);
    }
    Ok(())
}

/// A committed edit came.
pub(crate) fn take_edit(
    shared: &Shared,
    from: &FrameSender,
    message: &TableEdit,
) -> Result<(), WireError> {
    let entry: LogEntry = serde_json::from_slice(&message.entry_json)
        .map_err(|_| WireError::BadField("entry_json"))?;
    match shared.table.apply(&entry) {
        Installed::Newer => {
            announce(shared);
            pass_on(shared, &entry, message);
        }
        Installed::Gap => pull(shared, from),
        Installed::NotNewer => {}
    }
    Ok(())
}

/// A peer has said which revision it holds: whoever is behind gets the table.
pub(crate) fn compare(shared: &Shared, peer: &FrameSender, theirs: Revision) {
    let ours = shared.table.revision();
    if theirs > ours {
        pull(shared, peer);
    } else if theirs < ours {
        send_snapshot(shared, peer);
    }
}

pub(crate) fn send_snapshot(shared: &Shared, to: &FrameSender) {
    if let Some(table) = shared.table.current() {
        to.send_or_close(snapshot(&table));
    }
}

/// Tells each connected entry which of them hold the revision that is in force here.
pub(crate) fn report_progress(shared: &Shared) {
    let revision = shared.table.revision();
    let peers = shared.peers.lock();
    let holders = peers.all().into_iter().filter(|peer| peer.revision >= revision);
    let holders = holders.map(|peer| peer.identity.host.to_string()).collect();
    peers.broadcast(&Body::TableProgress(TableProgress { revision: revision.0, holders }));
}

fn announce(shared: &Shared) {
    let revision = shared.table.revision();
    log::info!(revision = revision.0; "table in force");
    shared.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    let held = Body::TableHeld(TableHeld { revision: revision.0 });
    shared.peers.lock().broadcast(&held);
    // Work that waits may no longer be allowed.
    shared.admission_changed.notify_one();
}

fn pass_on(shared: &Shared, entry: &LogEntry, message: &TableEdit) {
    for peer in shared.peers.lock().all() {
        if peer.revision < entry.revision {
            let _ = peer.sender.try_send(Body::TableEdit(message.clone()));
        }
    }
}

fn send_to_older(shared: &Shared) {
    let revision = shared.table.revision();
    let Some(table) = shared.table.current() else {
        return;
    };
    let message = snapshot(&table);
    for peer in shared.peers.lock().all() {
        if peer.revision < revision {
            let _ = peer.sender.try_send(message.clone());
        }
    }
}

fn pull(shared: &Shared, from: &FrameSender) {
    let held_revision = shared.table.revision().0;
    from.send_or_close(Body::TablePull(TablePull { held_revision }));
}

fn snapshot(table: &Arc<Table>) -> Body {
    let table_json = serde_json::to_vec(table.as_ref()).expect("the table is plain data");
    Body::TableSnapshot(TableSnapshot { revision: table.revision.0, table_json })
}
