//! Commits edits of the table, distributes them, and tracks the hosts on which a revision is active.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use stallhoist_coordination::CommitError;
use stallhoist_coordination::InstallOutcome;
use stallhoist_core::HostId;
use stallhoist_core::Revision;
use stallhoist_core::ZoneName;
use stallhoist_platform::HostState;
use stallhoist_table::Edit;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::entry_from_wire;
use stallhoist_wire::entry_to_wire;
use stallhoist_wire::messages::TableEdit;
use stallhoist_wire::messages::TableHeld;
use stallhoist_wire::messages::TableProgress;
use stallhoist_wire::messages::TableSnapshot;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::table_from_wire;
use stallhoist_wire::table_to_wire;

use crate::shared::Shared;

/// How long a committed edit waits until another availability zone holds it. After that it is reported
/// as only committed.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The hosts on which a revision is active, as far as this entry knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct InForce {
    pub(crate) revision: u64,
    /// The number of hosts on which it is active.
    pub(crate) in_force_hosts: usize,
    /// The number of hosts on which it should be active: the live ones of the host list and this one.
    pub(crate) hosts: usize,
    /// The hosts that are not known to have it.
    pub(crate) missing: Vec<HostId>,
}

/// Commits an edit, activates it on this entry, distributes it, and waits until another availability
/// zone holds it. The returned flag says whether one did: only then is the edit accepted.
///
/// # Errors
/// Fails if the edit conflicts or is invalid, or if the store does not confirm it.
pub(crate) async fn commit(
    shared: &Arc<Shared>,
    edit: &Edit,
) -> Result<(LogEntry, bool), CommitError> {
    let entry = shared.table_store.commit(edit).await?;
    if shared.table.apply(&entry) == InstallOutcome::Gap {
        let table = shared.table_store.table().await?;
        shared.table.install(table);
    }
    announce(shared);
    send_entry(shared, &entry);
    let is_held = wait_held_elsewhere(shared, entry.revision).await;
    Ok((entry, is_held))
}

async fn wait_held_elsewhere(shared: &Shared, revision: Revision) -> bool {
    let mut holders = shared.holders.subscribe();
    let is_held =
        |holders: &HashMap<HostId, Revision>| is_held_elsewhere(shared, holders, revision);
    let held = tokio::time::timeout(ACCEPT_TIMEOUT, holders.wait_for(is_held)).await;
    matches!(held, Ok(Ok(_)))
}

/// Whether another availability zone holds a revision; if the fleet has only one zone, another host.
fn is_held_elsewhere(
    shared: &Shared,
    holders: &HashMap<HostId, Revision>,
    revision: Revision,
) -> bool {
    let zones: HashMap<HostId, ZoneName> = zones(shared);
    let is_remote = |zone: &ZoneName| zone != &shared.identity.zone;
    let has_other_zones = zones.values().any(is_remote);
    holders.iter().filter(|(_, held)| **held >= revision).any(|(host, _)| {
        let zone = zones.get(host);
        host != &shared.identity.host && (!has_other_zones || zone.is_some_and(is_remote))
    })
}

fn zones(shared: &Shared) -> HashMap<HostId, ZoneName> {
    shared.links.hosts().into_iter().map(|entry| (entry.host, entry.zone)).collect()
}

/// The hosts on which a revision is active, as far as this entry knows.
pub(crate) fn in_force(shared: &Shared, revision: Revision) -> InForce {
    let listed = shared.links.hosts();
    let live = listed.iter().filter(|entry| entry.state == HostState::Live);
    let mut hosts: BTreeSet<HostId> = live.map(|entry| entry.host.clone()).collect();
    hosts.insert(shared.identity.host.clone());
    let holders = shared.holders.borrow();
    let local = shared.table.revision();
    let holds = |host: &HostId| {
        let held =
            if host == &shared.identity.host { Some(local) } else { holders.get(host).copied() };
        held.is_some_and(|held| held >= revision)
    };
    let missing: Vec<_> = hosts.iter().filter(|host| !holds(host)).cloned().collect();
    InForce {
        revision: revision.0,
        in_force_hosts: hosts.len() - missing.len(),
        hosts: hosts.len(),
        missing,
    }
}

/// Reads the table's head from the store and, if it is newer, the table.
///
/// # Errors
/// Fails if the store does not respond or its contents cannot be decoded.
pub(crate) async fn poll(shared: &Arc<Shared>) -> Result<(), CommitError> {
    shared.metrics.store_reads.inc();
    let Some(head) = shared.table_store.head().await? else {
        return Ok(());
    };
    if head.revision > shared.table.revision() {
        let table = shared.table_store.table().await?;
        install(shared, table);
    }
    Ok(())
}

/// Records that a revision is active on a host.
pub(crate) fn record_holder(shared: &Shared, host: &HostId, revision: Revision) {
    shared.holders.send_if_modified(|holders| {
        let held = holders.entry(host.clone()).or_default();
        let is_newer = *held < revision;
        *held = (*held).max(revision);
        is_newer
    });
}

/// Records on which of its entries a revision is active, as reported by a sidecar.
pub(crate) fn apply_progress(shared: &Shared, progress: &TableProgress) {
    for host in progress.holders.iter().filter_map(|host| host.parse().ok()) {
        record_holder(shared, &host, Revision(progress.revision));
    }
}

/// Installs a complete table that was received, if it is newer.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub(crate) fn apply_snapshot(
    shared: &Arc<Shared>,
    message: &TableSnapshot,
) -> Result<(), WireError> {
    let table = table_from_wire(message)?;
    install(shared, table);
    Ok(())
}

/// Applies a committed edit that was received. Requests a snapshot from the sender if an earlier edit
/// is missing.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub(crate) fn apply_edit(
    shared: &Arc<Shared>,
    from: &FrameSender,
    message: &TableEdit,
) -> Result<(), WireError> {
    let entry = entry_from_wire(message)?;
    match shared.table.apply(&entry) {
        InstallOutcome::Newer => {
            announce(shared);
            send_entry(shared, &entry);
        }
        InstallOutcome::Gap => shared.table.request_snapshot(from),
        InstallOutcome::NotNewer => {}
    }
    Ok(())
}

fn install(shared: &Arc<Shared>, table: Table) {
    if shared.table.install(table) != InstallOutcome::Newer {
        return;
    }
    announce(shared);
    let Some(table) = shared.table.current() else {
        return;
    };
    let message = table_to_wire(&table);
    for (_, link) in shared.links.all() {
        if link.with_connection(|connected| connected.revision < table.revision) == Some(true) {
            let _ = link.try_send(message.clone());
        }
    }
}

fn announce(shared: &Shared) {
    let revision = shared.table.revision();
    log::info!(revision = revision.0; "table revision active");
    shared.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    shared.links.broadcast(&Body::TableHeld(TableHeld { revision: revision.0 }));
}

fn send_entry(shared: &Shared, entry: &LogEntry) {
    let message = entry_to_wire(entry);
    let holders = shared.holders.borrow().clone();
    for (host, link) in shared.links.all() {
        if holders.get(&host).is_none_or(|held| *held < entry.revision) {
            let _ = link.try_send(message.clone());
        }
    }
}
