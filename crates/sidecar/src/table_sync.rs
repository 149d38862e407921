//! Distribution of the table among the connected entries.

use stallhoist_coordination::InstallOutcome;
use stallhoist_table::LogEntry;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::entry_from_wire;
use stallhoist_wire::messages::TableEdit;
use stallhoist_wire::messages::TableHeld;
use stallhoist_wire::messages::TableProgress;
use stallhoist_wire::messages::TableSnapshot;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::table_from_wire;
use stallhoist_wire::table_to_wire;

use crate::shared::Shared;

/// Applies a received table snapshot.
pub(crate) fn apply_snapshot(shared: &Shared, message: &TableSnapshot) -> Result<(), WireError> {
    let table = table_from_wire(message)?;
    if shared.table.install(table) == InstallOutcome::Newer {
        publish_revision(shared);
        send_to_outdated(shared);
    }
    Ok(())
}

/// Applies a received edit, which is committed in the store.
pub(crate) fn apply_edit(
    shared: &Shared,
    from: &FrameSender,
    message: &TableEdit,
) -> Result<(), WireError> {
    let entry = entry_from_wire(message)?;
    match shared.table.apply(&entry) {
        InstallOutcome::Newer => {
            publish_revision(shared);
            forward_edit(shared, &entry, message);
        }
        InstallOutcome::Gap => shared.table.request_snapshot(from),
        InstallOutcome::NotNewer => {}
    }
    Ok(())
}

/// Reports to each connected entry which of them hold the active revision.
pub(crate) fn report_progress(shared: &Shared) {
    let revision = shared.table.revision();
    let peers = shared.peers.lock();
    let holders = peers.all().into_iter().filter(|peer| peer.revision >= revision);
    let holders = holders.map(|peer| peer.identity.host.to_string()).collect();
    peers.broadcast(&Body::TableProgress(TableProgress { revision: revision.0, holders }));
}

fn publish_revision(shared: &Shared) {
    let revision = shared.table.revision();
    log::info!(revision = revision.0; "table activated");
    shared.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    let held = Body::TableHeld(TableHeld { revision: revision.0 });
    shared.peers.lock().broadcast(&held);
    // Queued attempts may no longer be allowed.
    shared.admission_changed.notify_one();
}

fn forward_edit(shared: &Shared, entry: &LogEntry, message: &TableEdit) {
    for peer in shared.peers.lock().all() {
        if peer.revision < entry.revision {
            let _ = peer.sender.try_send(Body::TableEdit(message.clone()));
        }
    }
}

fn send_to_outdated(shared: &Shared) {
    let revision = shared.table.revision();
    let Some(table) = shared.table.current() else {
        return;
    };
    let message = table_to_wire(&table);
    for peer in shared.peers.lock().all() {
        if peer.revision < revision {
            let _ = peer.sender.try_send(message.clone());
        }
    }
}
