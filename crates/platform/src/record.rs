//! Records of the table service.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Version of a record, which increases with every write of the record.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RecordVersion(pub u64);

impl fmt::Display for RecordVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A record of the table service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Value of the record.
    pub value: Value,
}

/// A page of the records under a prefix, in the order of their keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records of this page.
    pub records: Vec<Record>,
    /// Whether more records follow.
    pub has_more: bool,
}
