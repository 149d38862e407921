//! The ledger of bill records in the platform's store.
//!
//! Batches of records are written under `ledger/<hour>/<batch id>` if absent. The ledger is the
//! union of all batches with one record per request, that of the latest attempt. A batch may
//! therefore be written twice, by two holders or after a lost reply, without changing the sum.

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

const KEY_PREFIX: &str = "ledger/";
const MS_PER_HOUR: u64 = 3_600_000;
const BATCHES_PER_PAGE: usize = 50;

/// A batch to be written to the ledger. Its id is the same in all tries.
#[derive(Debug, Clone)]
pub struct LedgerBatch {
    id: EditId,
    records: Vec<BillRecord>,
}

impl LedgerBatch {
    /// Creates a batch.
    pub fn new(records: Vec<BillRecord>) -> Self {
        Self { id: EditId::generate(), records }
    }

    /// The attempts of the records in the batch.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        let attempt = |r: &BillRecord| AttemptId { request: r.request, number: r.attempt_number };
        self.records.iter().map(attempt)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the batch is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// One line of a bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillLine {
    /// The hour of the request's arrival, in hours since 1970.
    pub hour: u64,
    /// The record.
    pub record: BillRecord,
}

/// The ledger of bill records in the platform's store.
#[derive(Debug, Clone)]
pub struct Ledger {
    platform: PlatformClient,
}

impl Ledger {
    /// Creates a client of the ledger.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Appends a batch. After an error it may be appended again.
    ///
    /// # Errors
    /// Fails if the store does not confirm the write.
    pub async fn append(&self, batch: &LedgerBatch) -> Result<(), StoreError> {
        let mut by_hour: BTreeMap<u64, Vec<&BillRecord>> = BTreeMap::new();
        for record in &batch.records {
            let hour = record.request.unix_ms() / MS_PER_HOUR;
            by_hour.entry(hour).or_default().push(record);
        }
        let mut transaction = Transaction::default();
        for (hour, records) in by_hour {
            let key = format!("{KEY_PREFIX}{hour:010}/{}", batch.id);
            let value = serde_json::to_value(records).expect("bill records are plain data");
            let condition = Condition { key: key.clone(), expect: Expectation::Absent };
            transaction.conditions.push(condition);
            transaction.puts.push(Put { key, value });
        }
        match self.platform.commit(&transaction).await {
            // An earlier try has written this batch, as the key contains its id.
            Ok(()) | Err(StoreError::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads the bill lines of the hours from `first_hour` to `last_hour`, one per request.
    ///
    /// # Errors
    /// Fails if the store does not respond or a record is malformed.
    pub async fn read(&self, first_hour: u64, last_hour: u64) -> Result<Vec<BillLine>, StoreError> {
        let mut lines: BTreeMap<RequestId, BillLine> = BTreeMap::new();
        let mut after = format!("{KEY_PREFIX}{first_hour:010}");
        let end = format!("{KEY_PREFIX}{:010}", last_hour.saturating_add(1));
        loop {
            let page = self.platform.list(KEY_PREFIX, &after, BATCHES_PER_PAGE).await?;
            for batch in &page.records {
                if batch.key >= end {
                    return Ok(lines.into_values().collect());
                }
                let records: Vec<BillRecord> = serde_json::from_value(batch.value.clone())
                    .map_err(|e| StoreError::Refused(format!("{}: {e}", batch.key)))?;
                records.into_iter().for_each(|record| insert_latest(&mut lines, record));
                after.clone_from(&batch.key);
            }
            if !page.has_more {
                return Ok(lines.into_values().collect());
            }
        }
    }
}

fn insert_latest(lines: &mut BTreeMap<RequestId, BillLine>, record: BillRecord) {
    let held = lines.get(&record.request);
    let is_newer = held.is_none_or(|l| l.record.attempt_number < record.attempt_number);
    if is_newer {
        let hour = record.request.unix_ms() / MS_PER_HOUR;
        lines.insert(record.request, BillLine { hour, record });
    }
}
