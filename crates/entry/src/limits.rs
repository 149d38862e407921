//! The limits of table rows, of which this entry keeps to its share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_platform::HostEntry;
use stallhoist_platform::HostRole;
use stallhoist_platform::HostState;
use stallhoist_policy::limits::EntryShare;
use stallhoist_policy::limits::LimitReached;
use stallhoist_policy::limits::RowLimiter;
use stallhoist_policy::limits::RowLimits;
use xxhash_rust::xxh3::xxh3_64;

use crate::request::Order;
use crate::shared::Shared;

/// A list that is older than so many polls may lack other entries: until then polls may fail.
const POLLS_BELIEVED: u32 = 6;

type RowKey = (WorkspaceName, Target);

/// What this entry has let in, and among how many entries the limits are divided.
#[derive(Debug, Default)]
pub(crate) struct FleetLimits {
    /// The entries of the newest list, and when it was read. None before the first.
    listed: Option<(MonoTime, Vec<HostId>)>,
    /// One for each limited row that was asked for: no more than the table has rows.
    rows: HashMap<RowKey, RowLimiter>,
}

impl FleetLimits {
    /// The list of hosts was read.
    pub(crate) fn listed(&mut self, now: MonoTime, hosts: &[HostEntry]) {
        let is_entry =
            |host: &&HostEntry| host.role == HostRole::Entry && host.state == HostState::Live;
        let entries = hosts.iter().filter(is_entry).map(|host| host.host.clone());
        self.listed = Some((now, entries.collect()));
    }

    /// How many entries the newest list has; none before the first.
    pub(crate) fn entries(&self) -> Option<usize> {
        self.listed.as_ref().map(|(_, entries)| entries.len())
    }

    /// The share of the limits of a row that this entry keeps to. Nobody is known before the
    /// first list; then, and when the list is old, there may be others.
    fn share(&self, now: MonoTime, own: &HostId, believed: Duration, row: &RowKey) -> EntryShare {
        let salt = xxh3_64(format!("{}/{}", row.0, row.1).as_bytes());
        match &self.listed {
            Some((at, entries)) => {
                let share = EntryShare::of(own, entries, salt);
                if now.since(*at) > believed { share.halved() } else { share }
            }
            None => EntryShare::of(own, &[], salt).halved(),
        }
    }
}

/// Counts a request in progress under the limits of its row until it is dropped.
#[derive(Debug)]
pub(crate) struct LimitPermit {
    shared: Arc<Shared>,
    row: RowKey,
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        if let Some(limiter) = self.shared.limits.lock().rows.get_mut(&self.row) {
            limiter.ended();
        }
    }
}

/// Lets a request in under the limits of its row; gives no permit where there are none.
///
/// # Errors
/// Fails when this entry's share of a limit is used up.
pub(crate) fn admit(
    shared: &Arc<Shared>,
    order: &Order,
) -> Result<Option<LimitPermit>, LimitReached> {
    let limits = limits_of(shared, order);
    if limits.is_unlimited() {
        return Ok(None);
    }
    let now = shared.now();
    let row = (order.workspace.clone(), order.target.clone());
    let poll = Duration::from_millis(shared.settings.platform.host_list_poll_ms);
    let believed = poll.saturating_mul(POLLS_BELIEVED);
    let tokens = order.prompt_tokens.saturating_add(order.completion_tokens);
    let mut known = shared.limits.lock();
    let share = known.share(now, &shared.identity.host, believed, &row);
    known.rows.entry(row.clone()).or_default().admit(now, &limits, share, tokens)?;
    drop(known);
    Ok(Some(LimitPermit { shared: Arc::clone(shared), row }))
}

fn limits_of(shared: &Shared, order: &Order) -> RowLimits {
    let table = shared.table.current();
    let row = table.as_ref().and_then(|table| table.row(&order.workspace, &order.target));
    row.map_or_else(RowLimits::default, |row| RowLimits {
        max_in_flight_requests: row.max_in_flight_requests,
        max_requests_per_s: row.max_requests_per_s,
        max_tokens_per_s: row.max_tokens_per_s,
    })
}
