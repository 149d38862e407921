//! The background tasks of an entry: heartbeats, polling of the host list and of the table's head,
//! writing bill records to the ledger, and releasing claims.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_wire::messages::frame::Body;

use crate::billing;
use crate::claiming;
use crate::shared::Shared;
use crate::table_sync;

const RELEASE_PERIOD: Duration = Duration::from_millis(500);

/// The relative jitter of polling periods, so that hosts that started together do not poll together.
const JITTER: f64 = 0.2;

/// Sends the status to all sidecars periodically.
pub(crate) async fn heartbeat(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.heartbeat_ms);
    loop {
        tokio::time::sleep(period).await;
        shared.links.broadcast(&Body::Status(shared.status()));
        update_gauges(&shared);
    }
}

/// Polls the host list. If it cannot be read, the last one stays active.
pub(crate) async fn follow_hosts(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.platform.host_list_poll_ms);
    shared.links.connect_seeds(&shared);
    loop {
        match shared.platform.hosts().await {
            Ok(list) => {
                shared.limits.lock().listed(shared.now(), &list.hosts);
                shared.links.reconcile(&shared, list.hosts);
            }
            Err(error) => log::warn!(error:%; "cannot read the host list"),
        }
        tokio::time::sleep(jittered(period)).await;
    }
}

/// Polls the table's head, in case a revision does not arrive through the sidecars.
pub(crate) async fn follow_table(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.platform.table_poll_ms);
    loop {
        if let Err(error) = table_sync::poll(&shared).await {
            log::warn!(error:%; "cannot read the table's head");
        }
        tokio::time::sleep(jittered(period)).await;
    }
}

/// Writes bill records to the ledger periodically.
pub(crate) async fn flush_bills(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.bill.flush_ms);
    let mut unconfirmed = None;
    loop {
        tokio::time::sleep(jittered(period)).await;
        billing::flush(&shared, &mut unconfirmed).await;
    }
}

/// Retries the release of claims that could not be released at once.
pub(crate) async fn release_claims(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(jittered(RELEASE_PERIOD)).await;
        claiming::retry_releases(&shared).await;
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(1.0 - JITTER + rand::random_range(0.0..2.0 * JITTER))
}

fn update_gauges(shared: &Shared) {
    let as_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let connected = shared.links.all().iter().filter(|(_, l)| l.sender().is_some()).count();
    shared.metrics.connected_sidecars.set(as_gauge(connected));
    shared.metrics.unsettled_bills.set(as_gauge(shared.bills.lock().held.len()));
}
