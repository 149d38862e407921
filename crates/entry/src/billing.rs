//! Bill records on their way to the ledger.
//!
//! The serving sidecar holds a record first; the entry holds it next and asks a
//! sidecar in another zone to hold it too, before the caller sees the end of the
//! answer. The entry writes batches to the ledger and then tells the holders to drop
//! theirs. Records of an entry that is gone come back from the sidecars as orphans.

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

/// The records of one entry, and who else holds each.
#[derive(Debug, Default)]
pub(crate) struct PendingBills {
    pub(crate) held: UnsettledBills,
    holders: HashMap<RequestId, Vec<HostId>>,
}

impl PendingBills {
    fn take(&mut self, now: MonoTime, record: BillRecord, held_by: &HostId) {
        self.add_holder(record.request, held_by);
        self.held.hold(now, record);
    }

    fn add_holder(&mut self, request: RequestId, host: &HostId) {
        let holders = self.holders.entry(request).or_default();
        if !holders.contains(host) {
            holders.push(host.clone());
        }
    }

    /// The ledger has these: forgets them and gives who is to be told of which.
    fn settle(&mut self, attempts: &[AttemptId]) -> HashMap<HostId, Vec<AttemptId>> {
        self.held.settle(attempts);
        let mut told: HashMap<HostId, Vec<AttemptId>> = HashMap::new();
        for attempt in attempts {
            let holders = self.holders.get(&attempt.request).cloned().unwrap_or_default();
            for host in holders {
                told.entry(host).or_default().push(*attempt);
            }
            // A later attempt's record that came meanwhile has the same holders and more.
            if !self.held.holds(&attempt.request) {
                self.holders.remove(&attempt.request);
            }
        }
        told
    }
}

/// Takes in the record of an answer that is whole, before its end goes out.
pub(crate) async fn take_in(shared: &Shared, record: BillRecord, served_by: &HostId) {
    let request = record.request;
    shared.bills.lock().take(shared.now(), record.clone(), served_by);
    let Some((host, neighbour)) = neighbour(shared, served_by) else {
        shared.metrics.bills_with_one_holder.inc();
        return;
    };
    let told = neighbour.waiters.lock().add_bill(request);
    let hold = BillHold { record: Some(bill_to_wire(&record)) };
    let is_sent = neighbour.try_send(Body::BillHold(hold)).is_ok();
    shared.bills.lock().add_holder(request, &host);
    let patience = Duration::from_millis(shared.settings.bill.hold_timeout_ms);
    if !is_sent || !matches!(tokio::time::timeout(patience, told).await, Ok(Ok(()))) {
        shared.metrics.bills_with_one_holder.inc();
    }
}

/// A connected sidecar that does not share its fate with the one that served: in
/// another zone than it if there is one, else any other.
fn neighbour(shared: &Shared, served_by: &HostId) -> Option<(HostId, Arc<Link>)> {
    let links = shared.links.all();
    let served_in = links.iter().find(|(host, _)| host == served_by).and_then(|(_, l)| l.zone());
    let is_fit = |host: &HostId, link: &Link| host != served_by && link.sender().is_some();
    let fit: Vec<_> = links.into_iter().filter(|(host, link)| is_fit(host, link)).collect();
    let far: Vec<_> = fit.iter().filter(|(_, link)| link.zone() != served_in).collect();
    if far.is_empty() {
        return (!fit.is_empty()).then(|| fit[rand::random_range(0..fit.len())].clone());
    }
    Some(far[rand::random_range(0..far.len())].clone())
}

/// Takes over records whose entry is gone.
pub(crate) fn adopt(
    shared: &Shared,
    from: &HostId,
    records: &[messages::BillRecord],
) -> Result<(), WireError> {
    let now = shared.now();
    for record in records {
        shared.bills.lock().take(now, bill_from_wire(record)?, from);
    }
    Ok(())
}

/// Writes what is held to the ledger until nothing is left or a write fails. A batch
/// keeps its identity over tries, so `unconfirmed` is handed back in.
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
        let told = shared.bills.lock().settle(&attempts);
        for (host, attempts) in told {
            tell_settled(shared, &host, &attempts);
        }
    }
}

fn next_batch(shared: &Shared) -> LedgerBatch {
    LedgerBatch::new(shared.bills.lock().held.oldest(shared.settings.bill.max_batch))
}

fn tell_settled(shared: &Shared, host: &HostId, attempts: &[AttemptId]) {
    let attempts = attempts.iter().filter_map(|attempt| attempt_to_wire(*attempt)).collect();
    // A holder that does not hear it offers the records again, and hears it then.
    if let Some(link) = shared.links.get(host) {
        let _ = link.try_send(Body::BillSettled(BillSettled { attempts }));
    }
}
