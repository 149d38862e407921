//! Background tasks of a sidecar: heartbeats, queue processing, removal of old responses,
//! handover of orphaned bill records, and tracking of the engine's prefix cache.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use stallhoist_wire::bill_to_wire;
use stallhoist_wire::messages::BillOrphans;
use stallhoist_wire::messages::frame::Body;

use crate::answer::Answer;
use crate::attempts;
use crate::shared::Shared;
use crate::table_sync;

const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
const CACHE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of records in one message to an entry.
const MAX_ORPHANED_BILLS: usize = 500;

/// Periodically sends the status to all connected entries.
pub(crate) async fn heartbeat(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.timing.heartbeat_ms);
    loop {
        tokio::time::sleep(every).await;
        let status = Body::Status(shared.status(false));
        shared.peers.lock().broadcast(&status);
    }
}

/// Starts and rejects queued attempts when they are due.
pub(crate) async fn run_queue(shared: Arc<Shared>) {
    loop {
        let due = shared.admission.lock().next_due();
        let changed = shared.admission_changed.notified();
        match due {
            Some(due) => {
                let due = shared.clock.instant(due).into();
                tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep_until(due) => {}
                }
            }
            None => changed.await,
        }
        attempts::process_queue(&shared);
    }
}

/// Periodically cancels unread attempts and removes old responses.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        sweep_answers(&shared);
        send_orphaned_bills(&shared);
        if shared.progress_changed.swap(false, Ordering::SeqCst) {
            table_sync::report_progress(&shared);
        }
        update_gauges(&shared);
    }
}

fn sweep_answers(shared: &Arc<Shared>) {
    let now = shared.now();
    let window = Duration::from_millis(shared.settings.timing.resume_window_ms);
    let all: Vec<Arc<Answer>> = shared.answers.lock().values().cloned().collect();
    let mut finished = Vec::new();
    for answer in all {
        match answer.ended_at() {
            Some(ended) if now.since(ended) > window => {
                shared.answers.lock().remove(&answer.id);
            }
            Some(ended) => finished.push((ended, answer)),
            // A non-repeatable attempt runs to its end, so that its fate is known.
            None if answer.dispatch.repeatable && answer.unread_duration(now) > window => {
                attempts::cancel(shared, answer.id);
            }
            None => {}
        }
    }
    evict_over_limit(shared, finished);
}

/// Evicts finished responses, oldest first, until they are within the limit of bytes.
fn evict_over_limit(shared: &Shared, mut finished: Vec<(stallhoist_core::MonoTime, Arc<Answer>)>) {
    finished.sort_by_key(|(ended, _)| *ended);
    let mut kept: usize = finished.iter().map(|(_, answer)| answer.kept_bytes()).sum();
    for (_, answer) in finished {
        if kept <= shared.settings.max_kept_answer_bytes {
            return;
        }
        kept -= answer.kept_bytes();
        shared.answers.lock().remove(&answer.id);
    }
}

/// Sends bill records that no entry has settled within `orphan_ms` to a random entry, which
/// writes them to the ledger.
fn send_orphaned_bills(shared: &Shared) {
    let age = Duration::from_millis(shared.settings.bill.orphan_ms);
    let peers = shared.peers.lock().all();
    if peers.is_empty() {
        return;
    }
    let orphaned = shared.bills.lock().older_than(shared.now(), age, MAX_ORPHANED_BILLS);
    if orphaned.is_empty() {
        return;
    }
    let peer = &peers[rand::random_range(0..peers.len())];
    let records = orphaned.iter().map(bill_to_wire).collect();
    let _ = peer.sender.try_send(Body::BillOrphans(BillOrphans { records }));
}

fn update_gauges(shared: &Shared) {
    let as_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let admission = shared.admission.lock();
    shared.metrics.in_flight_requests.set(as_gauge(admission.in_flight()));
    shared.metrics.queue_len_requests.set(as_gauge(admission.queue_len()));
    drop(admission);
    shared.metrics.unsettled_bills.set(as_gauge(shared.bills.lock().len()));
}

#[derive(Debug, Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    sequence: u64,
    kind: CacheEventKind,
    block: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum CacheEventKind {
    Stored,
    Removed,
}

#[derive(Debug, Deserialize)]
struct CacheBlocks {
    last_sequence: u64,
    blocks: Vec<u64>,
}

/// Polls the engine's cache events; after a gap it fetches the complete list.
pub(crate) async fn poll_cache_events(shared: Arc<Shared>) {
    if !shared.is_engine() {
        return;
    }
    loop {
        tokio::time::sleep(CACHE_POLL_INTERVAL).await;
        // The events are optional for an engine.
        let _ = poll_cache(&shared).await;
    }
}

async fn poll_cache(shared: &Shared) -> Result<(), reqwest::Error> {
    let base = shared.settings.upstream.url.trim_end_matches('/');
    let after = shared.cache_view.lock().last_sequence();
    let url = format!("{base}/v1/cache-events?after={after}");
    let reply: CacheEvents = shared.http.get(url).send().await?.json().await?;
    let mut is_incomplete = false;
    for event in reply.events {
        let is_stored = event.kind == CacheEventKind::Stored;
        is_incomplete |=
            !shared.cache_view.lock().apply_event(event.sequence, is_stored, event.block);
    }
    if is_incomplete {
        let url = format!("{base}/v1/cache-blocks");
        let whole: CacheBlocks = shared.http.get(url).send().await?.json().await?;
        shared.cache_view.lock().replace(whole.last_sequence, whole.blocks);
    }
    Ok(())
}
