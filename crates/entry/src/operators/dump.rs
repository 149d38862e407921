//! The state dump of an entry.

use std::sync::Arc;

use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_policy::guard::Hold;
use stallhoist_settings::EntrySettings;

use crate::mesh::Link;
use crate::shared::Shared;

/// The state of one connection.
#[derive(Debug, Serialize)]
pub(crate) struct LinkDump {
    host: HostId,
    addr: String,
    is_connected: bool,
    zone: Option<String>,
    incarnation: Option<String>,
    revision: Option<u64>,
    is_leaving: Option<bool>,
    serves: Vec<String>,
    in_flight_requests: Option<u32>,
    last_heard_ms_ago: Option<u64>,
    control_sent_bytes: Option<u64>,
}

/// The state of the entry.
#[derive(Debug, Serialize)]
pub(crate) struct StateDump {
    role: &'static str,
    host: String,
    zone: String,
    incarnation: String,
    is_leaving: bool,
    revision: u64,
    in_flight_requests: i64,
    unsettled_bills: usize,
    unreleased_claims: usize,
    listed_hosts: usize,
    /// The number of entries among which the limits of rows are divided; `None` before the first host
    /// list.
    listed_entries: Option<usize>,
    ejected: Vec<HostId>,
    holds: Vec<Hold>,
    links: Vec<LinkDump>,
    settings: EntrySettings,
}

pub(crate) fn dump(shared: &Arc<Shared>) -> StateDump {
    let links = shared.links.all();
    StateDump {
        role: "entry",
        host: shared.identity.host.to_string(),
        zone: shared.identity.zone.to_string(),
        incarnation: shared.identity.incarnation.to_string(),
        is_leaving: shared.is_leaving(),
        revision: shared.table.revision().0,
        in_flight_requests: shared.metrics.in_flight_requests.get(),
        unsettled_bills: shared.bills.lock().held.len(),
        unreleased_claims: shared.unreleased.lock().len(),
        listed_hosts: shared.links.hosts().len(),
        listed_entries: shared.limits.lock().entries(),
        holds: shared.guard.lock().holds(),
        ejected: shared.ejection.lock().ejected(shared.now()),
        links: links.iter().map(|(host, link)| dump_link(host, link)).collect(),
        settings: shared.settings.clone(),
    }
}

fn dump_link(host: &HostId, link: &Link) -> LinkDump {
    let connected = link.connected();
    let c = connected.as_ref();
    let ms_ago =
        |at: std::time::Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
    LinkDump {
        host: host.clone(),
        addr: link.addr.to_string(),
        is_connected: c.is_some(),
        zone: c.map(|c| c.identity.zone.to_string()),
        incarnation: c.map(|c| c.identity.incarnation.to_string()),
        revision: c.map(|c| c.revision.0),
        is_leaving: c.map(|c| c.is_leaving),
        serves: c.map(|c| c.serves.iter().map(ToString::to_string).collect()).unwrap_or_default(),
        in_flight_requests: c.map(|c| c.in_flight_requests),
        last_heard_ms_ago: c.map(|c| ms_ago(c.last_heard)),
        control_sent_bytes: c.map(|c| c.sender.sent_bytes()),
    }
}
