//! Keeps bill records until they are written to the ledger.
//!
//! A record is held by the serving sidecar, then by the entry, and by a sidecar in another availability
//! zone, before the end of the response is sent to the caller. The entry writes batches to the ledger
//! and then tells the holders to drop their copies. Sidecars send the records of an entry that is gone
//! to another entry as orphans.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_coordination::LedgerBatch;
use stallhoist_coordination::UnsettledBills;
use stallhoist_core::AttemptId;
use stallhoist_core::BillRecord;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestId;
use stallhoist_wire::WireError;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::bill_from_wire;
use stallhoist_wire::bill_to_wire;
use stallhoist_wire::messages;
use stallhoist_wire::messages::BillHold;
use stallhoist_wire::messages::BillSettled;
use stallhoist_wire::messages::frame::Body;

use crate::mesh::Link;
use crate::shared::Shared;

/// The bill records of this entry, and the hosts that hold a copy of each.
#[derive(Debug, Default)]
pub(crate) struct PendingBills {
    pub(crate) held: UnsettledBills,
    holders: HashMap<RequestId, Vec<HostId>>,
}

impl PendingBills {
    fn add(&mut self, now: MonoTime, record: BillRecord, held_by: &HostId) {
        self.add_holder(record.request, held_by);
        self.held.hold(now, record);
    }

    fn add_holder(&mut self, request: RequestId, host: &HostId) {
        let holders = self.holders.entry(request).or_default();
        if !holders.contains(host) {
            holders.push(host.clone());
        }
    }

    /// Removes records that were written to the ledger. Returns the attempts to be dropped by each
    /// holder.
    fn settle(&mut self, attempts: &[AttemptId]) -> HashMap<HostId, Vec<AttemptId>> {
        self.held.settle(attempts);
        let mut settled: HashMap<HostId, Vec<AttemptId>> = HashMap::new();
        for attempt in attempts {
            let holders = self.holders.get(&attempt.request).cloned().unwrap_or_default();
            for host in holders {
                settled.entry(host).or_default().push(*attempt);
            }
            // The record of a later attempt may have arrived meanwhile. It has at least the same
            // holders.
            if !self.held.holds(&attempt.request) {
                self.holders.remove(&attempt.request);
            }
        }
        settled
    }
}

/// Stores the record of a complete response, and waits until a neighbour holds a copy or the timeout
/// passes. Must complete before the end of the response is sent.
pub(crate) async fn hold_record(shared: &Shared, record: BillRecord, served_by: &HostId) {
    let request = record.request;
    shared.bills.lock().add(shared.now(), record.clone(), served_by);
    let Some((host, neighbour)) = neighbour(shared, served_by) else {
        shared.metrics.bills_with_one_holder.inc();
        return;
    };
    let confirmation = neighbour.waiters.lock().add_bill(request);
    let hold = BillHold { record: Some(bill_to_wire(&record)) };
    let is_sent = neighbour.try_send(Body::BillHold(hold)).is_ok();
    shared.bills.lock().add_holder(request, &host);
    let timeout = Duration::from_millis(shared.settings.bill.hold_timeout_ms);
    if !is_sent || !matches!(tokio::time::timeout(timeout, confirmation).await, Ok(Ok(()))) {
        shared.metrics.bills_with_one_holder.inc();
    }
}

/// A random connected sidecar in another availability zone than the one that served, or else any other
/// sidecar, so that one failure does not lose both copies.
fn neighbour(shared: &Shared, served_by: &HostId) -> Option<(HostId, Arc<Link>)> {
    let links = shared.links.all();
    let served_in = links.iter().find(|(host, _)| host == served_by).and_then(|(_, l)| l.zone());
    let is_eligible = |host: &HostId, link: &Link| host != served_by && link.sender().is_some();
    let eligible: Vec<_> =
        links.into_iter().filter(|(host, link)| is_eligible(host, link)).collect();
    let remote: Vec<_> = eligible.iter().filter(|(_, link)| link.zone() != served_in).collect();
    if remote.is_empty() {
        return (!eligible.is_empty())
            .then(|| eligible[rand::random_range(0..eligible.len())].clone());
    }
    Some(remote[rand::random_range(0..remote.len())].clone())
}

/// Adds records whose entry is gone, sent by a sidecar that holds them.
///
/// # Errors
/// Fails if a record cannot be decoded.
pub(crate) fn adopt(
    shared: &Shared,
    from: &HostId,
    records: &[messages::BillRecord],
) -> Result<(), WireError> {
    let now = shared.now();
    for record in records {
        shared.bills.lock().add(now, bill_from_wire(record)?, from);
    }
    Ok(())
}

/// Writes the held records to the ledger until none is left or a write fails. A batch whose write
/// failed is returned in `unconfirmed` and retried by the next call, since it must keep its identity.
pub(crate) async fn flush(shared: &Shared, unconfirmed: &mut Option<LedgerBatch>) {
    loop {
        let batch = unconfirmed.take().unwrap_or_else(|| next_batch(shared));
        if batch.is_empty() {
            return;
        }
        if let Err(error) = shared.ledger.append(&batch).await {
            log::warn!(error:%, records = batch.len(); "the ledger did not confirm a batch");
            *unconfirmed = Some(batch);
            return;
        }
        let attempts: Vec<_> = batch.attempts().collect();
        let settled = shared.bills.lock().settle(&attempts);
        for (host, attempts) in settled {
            send_settled(shared, &host, &attempts);
        }
    }
}

fn next_batch(shared: &Shared) -> LedgerBatch {
    LedgerBatch::new(shared.bills.lock().held.oldest(shared.settings.bill.max_batch))
}

fn send_settled(shared: &Shared, host: &HostId, attempts: &[AttemptId]) {
    let attempts = attempts.iter().filter_map(|attempt| attempt_to_wire(*attempt)).collect();
    // A holder that misses this message sends its records again as orphans, and is then notified again.
    if let Some(link) = shared.links.get(host) {
        let _ = link.try_send(Body::BillSettled(BillSettled { attempts }));
    }
}
