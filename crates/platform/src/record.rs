//! Records of the table service.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The version of a record. It grows with every write of the record.
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

/// A record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: RecordVersion,
    /// Its value.
    pub value: Value,
}

/// A part of the records under a prefix, in the order of their keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records.
    pub records: Vec<Record>,
    /// Whether more follow after the last one.
    pub has_more: bool,
}
