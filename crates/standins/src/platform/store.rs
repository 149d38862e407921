//! Versioned records and transactions over them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_platform::Conflict;
use stallhoist_platform::Expectation;
use stallhoist_platform::Record;
use stallhoist_platform::RecordPage;
use stallhoist_platform::RecordVersion;
use stallhoist_platform::Transaction;

/// Numbers of calls to the store.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Read calls.
    pub reads: u64,
    /// Write calls.
    pub writes: u64,
}

/// Records by key. A transaction applies all its writes, or none if a condition fails.
#[derive(Debug, Default)]
pub(crate) struct Store {
    records: BTreeMap<String, Record>,
    last_version: u64,
    pub(crate) counts: StoreCounts,
}

impl Store {
    pub(crate) fn read(&mut self, key: &str) -> Option<Record> {
        self.counts.reads += 1;
        self.records.get(key).cloned()
    }

    pub(crate) fn list(&mut self, prefix: &str, after: &str, limit: usize) -> RecordPage {
        self.counts.reads += 1;
        let from = prefix.max(after).to_owned();
        let mut found = self
            .records
            .range(from..)
            .filter(|(key, _)| key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, record)| record.clone());
        let records: Vec<_> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        RecordPage { records, has_more }
    }

    pub(crate) fn commit(&mut self, transaction: &Transaction) -> Result<(), Vec<Conflict>> {
        self.counts.writes += 1;
        let conflicts = self.conflicts(transaction);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last_version += 1;
        for put in &transaction.puts {
            let record = Record {
                key: put.key.clone(),
                version: RecordVersion(self.last_version),
                value: put.value.clone(),
            };
            self.records.insert(put.key.clone(), record);
        }
        for key in &transaction.deletes {
            self.records.remove(key);
        }
        Ok(())
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        for condition in &transaction.conditions {
            let found = self.records.get(&condition.key);
            let holds = match condition.expect {
                Expectation::Absent => found.is_none(),
                Expectation::Version(version) => found.is_some_and(|r| r.version == version),
            };
            if !holds {
                conflicts.push(Conflict { key: condition.key.clone(), found: found.cloned() });
            }
        }
        conflicts
    }
}
