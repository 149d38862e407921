//! Rows of the store, their history, and the store's faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

/// Fault that affects calls to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call gets this status and has no effect.
    Status(u16),
    /// Calls get no response.
    Silent,
    /// Writes are applied, but their responses are lost.
    LoseWriteAnswers,
    /// Calls on this table get no response.
    SilentTable(String),
}

#[derive(Debug, Clone)]
struct Stored {
    value: Option<Value>,
    /// Raw text that is returned in place of the encoded value.
    raw: Option<String>,
    version: u64,
}

/// Table and key of a row.
type RowKey = (String, String);

/// Contents of the store at some time; empty by default.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    rows: BTreeMap<RowKey, Stored>,
    version: u64,
    outside_writes: usize,
}

/// Writes of operators and upstreams that a restore has lost.
#[derive(Debug, Clone, Default)]
pub struct LostWrites(Vec<OutsideWrite>);

/// A write or removal by an operator or an upstream.
#[derive(Debug, Clone)]
struct OutsideWrite {
    key: RowKey,
    value: Option<Value>,
    raw: Option<String>,
}

/// Rows of the store. For a removed row, the version of the removal is kept.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    rows: BTreeMap<RowKey, Stored>,
    version: u64,
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// Writes of operators and upstreams, in order.
    outside_writes: Vec<OutsideWrite>,
    history_from: u64,
    /// Era to report in place of the actual one.
    pub(super) era_override: Option<u64>,
    pub(super) fault: Option<StoreFault>,
    pub(super) calls: Vec<String>,
    /// Rows that calls can't change: their writes succeed without effect.
    pub(super) pinned: BTreeSet<RowKey>,
}

impl StoreState {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn era(&self) -> u64 {
        self.era
    }

    pub(super) fn copy(&self) -> StoreCopy {
        let outside_writes = self.outside_writes.len();
        StoreCopy { rows: self.rows.clone(), version: self.version, outside_writes }
    }

    /// Restores a copy: later writes are lost, and their version numbers are assigned again.
    pub(super) fn restore_from(&mut self, copy: StoreCopy) -> LostWrites {
        self.rows = copy.rows;
        self.version = copy.version;
        self.era += 1;
        let kept = copy.outside_writes.min(self.outside_writes.len());
        LostWrites(self.outside_writes.split_off(kept))
    }

    /// Repeats the last lost write of each row.
    pub(super) fn replay_writes(&mut self, lost: LostWrites) {
        let last: BTreeMap<_, _> = lost.0.into_iter().map(|w| (w.key.clone(), w)).collect();
        last.into_values().for_each(|write| self.write(write));
    }

    pub(super) fn put(&mut self, table: &str, key: &str, value: Value) {
        self.write(OutsideWrite { key: row_key(table, key), value: Some(value), raw: None });
    }

    /// Writes a row whose raw value is returned as is.
    pub(super) fn put_raw(&mut self, table: &str, key: &str, raw: &str) {
        let (key, raw) = (row_key(table, key), Some(raw.to_owned()));
        self.write(OutsideWrite { key, value: Some(Value::Null), raw });
    }

    pub(super) fn remove(&mut self, table: &str, key: &str) {
        self.write(OutsideWrite { key: row_key(table, key), value: None, raw: None });
    }

    fn write(&mut self, write: OutsideWrite) {
        self.version += 1;
        let OutsideWrite { key, value, raw } = write.clone();
        self.set(key, value, raw);
        self.outside_writes.push(write);
    }

    pub(super) fn get(&self, table: &str, key: &str) -> Option<Value> {
        self.rows.get(&row_key(table, key))?.value.clone()
    }

    /// Returns the values of all rows of a table.
    pub(super) fn values(&self, table: &str) -> Vec<Value> {
        let rows_of_table = self.rows.iter().filter(|((t, _), _)| t == table);
        rows_of_table.filter_map(|(_, row)| row.value.clone()).collect()
    }

    /// Returns the keys of all rows of a table.
    pub(super) fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.iter().filter(|((t, _), row)| t == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    /// Drops the history, so that followers have to read the tables anew.
    pub(super) fn clear_history(&mut self) {
        self.history_from = self.version + 1;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Returns the rows of a table in wire form.
    pub(super) fn read(&self, table: &str, from: &str) -> Vec<Value> {
        let rows_of_table =
            self.rows.iter().filter(|((t, key), _)| t == table && key.as_str() >= from);
        rows_of_table
            .filter(|(_, row)| row.value.is_some())
            .map(|(key, row)| wire(key, row))
            .collect()
    }

    /// Returns the changes of a table after a version, or `None` if the history no longer has them or the version
    /// doesn't exist.
    pub(super) fn changes(&self, table: &str, after: u64) -> Option<Vec<Value>> {
        if after + 1 < self.history_from || after > self.version {
            return None;
        }
        let mut changed: Vec<_> =
            self.rows.iter().filter(|((t, _), row)| t == table && row.version > after).collect();
        changed.sort_by_key(|(_, row)| row.version);
        Some(changed.into_iter().map(|(key, row)| wire(key, row)).collect())
    }

    /// Executes a transaction and returns whether its conditions held.
    pub(super) fn transact(&mut self, transaction: &Value) -> bool {
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let key_of = |entry: &Value| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("private_key"))
        };
        let holds = |entry: &Value| {
            let row = self.rows.get(&key_of(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry["ver"].as_u64().unwrap_or(u64::MAX)
        };
        if !list("expected_rev").iter().all(holds) {
            return false;
        }
        self.version += 1;
        for entry in list("put") {
            let key = key_of(&entry);
            if self.pinned.contains(&key) {
                continue;
            }
            let bytes = STANDARD.decode(entry["value"].as_str().unwrap_or_default());
            let value = bytes.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
            self.set(key, value, None);
        }
        for entry in list("remove") {
            self.set(key_of(&entry), None, None);
        }
        true
    }

    fn set(&mut self, key: RowKey, value: Option<Value>, raw: Option<String>) {
        self.rows.insert(key, Stored { value, raw, version: self.version });
    }
}

fn row_key(table: &str, key: &str) -> RowKey {
    (table.to_owned(), key.to_owned())
}

fn wire((table, key): &RowKey, row: &Stored) -> Value {
    match &row.value {
        Some(value) => json!({
            "table": table,
            "part": "",
            "private_key": key,
            "value": row.raw.clone().unwrap_or_else(|| STANDARD.encode(value.to_string())),
            "ver": row.version,
        }),
        None => json!({
            "table": table, "part": "", "private_key": key, "ver": row.version, "gone": true,
        }),
    }
}
