//! Transactions of the table service.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Record;
use crate::RecordVersion;

/// What a transaction expects of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// It is not there.
    Absent,
    /// It has this version.
    Version(RecordVersion),
}

/// A condition on one record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// The record's key.
    pub key: String,
    /// What is expected of it.
    pub expect: Expectation,
}

/// A record to be written.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Put {
    /// The record's key.
    pub key: String,
    /// Its new value.
    pub value: Value,
}

/// A transaction: all conditions hold and everything is written, or nothing is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// What is written.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// The keys of records that are removed.
    #[serde(default)]
    pub deletes: Vec<String>,
}

/// A record that was not as expected.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// Its key.
    pub key: String,
    /// The record as it is; none when it is not there.
    pub found: Option<Record>,
}

/// The body of a reply that refuses a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The records that were not as expected.
    pub conflicts: Vec<Conflict>,
}
