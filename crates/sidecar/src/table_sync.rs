//! Spreading the table among the entries that are connected.

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

/// A whole table came.
pub(crate) fn take_snapshot(shared: &Shared, message: &TableSnapshot) -> Result<(), WireError> {
    let table = table_from_wire(message)?;
    if shared.table.install(table) == InstallOutcome::Newer {
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
    let entry = entry_from_wire(message)?;
    match shared.table.apply(&entry) {
        InstallOutcome::Newer => {
            announce(shared);
            pass_on(shared, &entry, message);
        }
        InstallOutcome::Gap => shared.table.request_snapshot(from),
        InstallOutcome::NotNewer => {}
    }
    Ok(())
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
    let message = table_to_wire(&table);
    for peer in shared.peers.lock().all() {
        if peer.revision < revision {
            let _ = peer.sender.try_send(message.clone());
        }
    }
}
