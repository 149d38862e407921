//! Transactions of the table service.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Record;
use crate::RecordVersion;

/// State in which a transaction expects a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// The record doesn't exist.
    Absent,
    /// The record has this version.
    Version(RecordVersion),
}

/// A condition on one record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the record.
    pub key: String,
    /// Expected state of the record.
    pub expect: Expectation,
}

/// A record to write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Put {
    /// Key of the record.
    pub key: String,
    /// New value of the record.
    pub value: Value,
}

/// An atomic transaction: if all conditions hold, everything is written, and otherwise nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions on the current records.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Records to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// Keys of records to delete.
    #[serde(default)]
    pub deletes: Vec<String>,
}

/// A record that violated a condition.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the record.
    pub key: String,
    /// The current record; `None` if it doesn't exist.
    pub found: Option<Record>,
}

/// Body of the reply that rejects a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The records that violated a condition.
    pub conflicts: Vec<Conflict>,
}
