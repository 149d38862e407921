//! Bill records that are not yet settled in the ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::AttemptId;
use stallhoist_core::BillRecord;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestId;

#[derive(Debug, Clone)]
struct Held {
    record: BillRecord,
    since: MonoTime,
}

/// Bill records that a process holds until they are settled in the ledger.
#[derive(Debug, Default)]
pub struct UnsettledBills {
    by_request: BTreeMap<RequestId, Held>,
}

impl UnsettledBills {
    /// Adds a record. Of several records of a request, only that of the latest attempt is held.
    pub fn hold(&mut self, now: MonoTime, record: BillRecord) {
        let held = self.by_request.get(&record.request);
        let is_older = held.is_some_and(|h| h.record.attempt_number > record.attempt_number);
        if !is_older {
            self.by_request.insert(record.request, Held { record, since: now });
        }
    }

    /// Removes the records of these attempts, which the ledger has. The record of a later attempt
    /// that was added meanwhile stays, as the ledger does not have it.
    pub fn settle<'a>(&mut self, attempts: impl IntoIterator<Item = &'a AttemptId>) {
        for attempt in attempts {
            let held = self.by_request.get(&attempt.request);
            if held.is_some_and(|held| held.record.attempt_number <= attempt.number) {
                self.by_request.remove(&attempt.request);
            }
        }
    }

    /// Whether a record of a request is held.
    pub fn holds(&self, request: &RequestId) -> bool {
        self.by_request.contains_key(request)
    }

    /// Up to `limit` records that have been held for at least `age`, oldest request first. They stay
    /// held, and their age restarts.
    pub fn older_than(&mut self, now: MonoTime, age: Duration, limit: usize) -> Vec<BillRecord> {
        let is_old = |held: &&mut Held| now.since(held.since) >= age;
        let old = self.by_request.values_mut().filter(is_old).take(limit);
        old.map(|held| {
            held.since = now;
            held.record.clone()
        })
        .collect()
    }

    /// Up to `limit` records, oldest request first.
    pub fn oldest(&self, limit: usize) -> Vec<BillRecord> {
        self.by_request.values().take(limit).map(|held| held.record.clone()).collect()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
