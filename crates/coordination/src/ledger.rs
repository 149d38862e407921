//! The bill in the platform's store.
//!
//! Batches of records are written under `ledger/<hour>/<batch id>` if absent. The
//! ledger is the union of all batches with doubled records dropped by request; of two
//! records of one request the later attempt's stands. So a batch may be written twice,
//! by two holders, or after a lost reply, and the sum is the same.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::AttemptId;
use stallhoist_core::BillRecord;
use stallhoist_core::EditId;
use stallhoist_core::RequestId;
use stallhoist_platform::Condition;
use stallhoist_platform::Expectation;
use stallhoist_platform::PlatformClient;
use stallhoist_platform::Put;
use stallhoist_platform::StoreError;
use stallhoist_platform::Transaction;

const PREFIX: &str = "ledger/";
const MS_PER_HOUR: u64 = 3_600_000;
const BATCHES_PER_PAGE: usize = 50;

/// A batch on its way to the ledger. It keeps its identity over all tries.
#[derive(Debug, Clone)]
pub struct LedgerBatch {
    id: EditId,
    records: Vec<BillRecord>,
}

impl LedgerBatch {
    /// A new batch of these records.
    pub fn new(records: Vec<BillRecord>) -> Self {
        Self { id: EditId::generate(), records }
    }

    /// The attempts whose records the batch holds.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        let attempt = |r: &BillRecord| AttemptId { request: r.request, number: r.attempt_number };
        self.records.iter().map(attempt)
    }

    /// How many records the batch holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// One line of a bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillLine {
    /// The hour the request came in, in hours since 1970.
    pub hour: u64,
    /// The record.
    pub record: BillRecord,
}

/// The bill in the platform's store.
#[derive(Debug, Clone)]
pub struct Ledger {
    platform: PlatformClient,
}

impl Ledger {
    /// The ledger in this platform's store.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Appends a batch. After any error it may be appended again.
    ///
    /// # Errors
    /// Fails when the store does not confirm the write.
    pub async fn append(&self, batch: &LedgerBatch) -> Result<(), StoreError> {
        let mut by_hour: BTreeMap<u64, Vec<&BillRecord>> = BTreeMap::new();
        for record in &batch.records {
            let hour = record.request.unix_ms() / MS_PER_HOUR;
            by_hour.entry(hour).or_default().push(record);
        }
        let mut transaction = Transaction::default();
        for (hour, records) in by_hour {
            let key = format!("{PREFIX}{hour:010}/{}", batch.id);
            let value = serde_json::to_value(records).expect("bill records are plain data");
            let condition = Condition { key: key.clone(), expect: Expectation::Absent };
            transaction.conditions.push(condition);
            transaction.puts.push(Put { key, value });
        }
        match self.platform.commit(&transaction).await {
            // An earlier try of this batch got through: the key is its own.
            Ok(()) | Err(StoreError::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads the bill of the hours from `first_hour` to `last_hour`, each request once.
    ///
    /// # Errors
    /// Fails when the store does not answer or holds something else.
    pub async fn read(&self, first_hour: u64, last_hour: u64) -> Result<Vec<BillLine>, StoreError> {
        let mut lines: BTreeMap<RequestId, BillLine> = BTreeMap::new();
        let mut after = format!("{PREFIX}{first_hour:010}");
        let end = format!("{PREFIX}{:010}", last_hour.saturating_add(1));
        loop {
            let page = self.platform.list(PREFIX, &after, BATCHES_PER_PAGE).await?;
            for batch in &page.records {
                if batch.key >= end {
                    return Ok(lines.into_values().collect());
                }
                let records: Vec<BillRecord> = serde_json::from_value(batch.value.clone())
                    .map_err(|e| StoreError::Refused(format!("{}: {e}", batch.key)))?;
                records.into_iter().for_each(|record| take_in(&mut lines, record));
                after.clone_from(&batch.key);
            }
            if !page.has_more {
                return Ok(lines.into_values().collect());
            }
        }
    }
}

fn take_in(lines: &mut BTreeMap<RequestId, BillLine>, record: BillRecord) {
    let held = lines.get(&record.request);
    let is_newer = held.is_none_or(|l| l.record.attempt_number < record.attempt_number);
    if is_newer {
        let hour = record.request.unix_ms() / MS_PER_HOUR;
        lines.insert(record.request, BillLine { hour, record });
    }
}
