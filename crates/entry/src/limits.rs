//! Enforces the limits of table rows. Each entry enforces its share of a limit, without coordination.
//!
//! The shares follow from the host list. While the list may lack other entries (before the first one,
//! or when it is old), an entry uses half of its share.

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

/// The age of the host list, in polling periods, up to which it counts as current. Allows for failed
/// polls; an older list may lack other entries.
const HOST_LIST_TTL_POLLS: u32 = 6;

type RowKey = (WorkspaceName, Target);

/// The limiters of this entry, and the entries among which the limits are divided.
#[derive(Debug, Default)]
pub(crate) struct FleetLimits {
    /// The live entries in the newest host list, and when it was read; `None` before the first.
    listed: Option<(MonoTime, Vec<HostId>)>,
    /// One limiter for each limited row that was requested, hence at most as many as the table has
    /// rows.
    rows: HashMap<RowKey, RowLimiter>,
}

impl FleetLimits {
    /// Records that the host list was read.
    pub(crate) fn listed(&mut self, now: MonoTime, hosts: &[HostEntry]) {
        let is_entry =
            |host: &&HostEntry| host.role == HostRole::Entry && host.state == HostState::Live;
        let entries = hosts.iter().filter(is_entry).map(|host| host.host.clone());
        self.listed = Some((now, entries.collect()));
    }

    /// The number of live entries in the newest host list; `None` before the first.
    pub(crate) fn entries(&self) -> Option<usize> {
        self.listed.as_ref().map(|(_, entries)| entries.len())
    }

    /// This entry's share of the limits of a row. It is halved before the first list and when the list
    /// is older than `ttl`, since there may be other entries.
    fn share(&self, now: MonoTime, local: &HostId, ttl: Duration, row: &RowKey) -> EntryShare {
        let salt = xxh3_64(format!("{}/{}", row.0, row.1).as_bytes());
        match &self.listed {
            Some((at, entries)) => {
                let share = EntryShare::of(local, entries, salt);
                if now.since(*at) > ttl { share.halved() } else { share }
            }
            None => EntryShare::of(local, &[], salt).halved(),
        }
    }
}

/// Counts a request in progress against the limits of its row until it is dropped.
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

/// Admits a request under the limits of its row. Returns no permit if the row has no limits.
///
/// # Errors
/// Fails if this entry's share of a limit is used up.
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
    let ttl = poll.saturating_mul(HOST_LIST_TTL_POLLS);
    let tokens = order.prompt_tokens.saturating_add(order.completion_tokens);
    let mut fleet_limits = shared.limits.lock();
    let share = fleet_limits.share(now, &shared.identity.host, ttl, &row);
    fleet_limits.rows.entry(row.clone()).or_default().admit(now, &limits, share, tokens)?;
    drop(fleet_limits);
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
