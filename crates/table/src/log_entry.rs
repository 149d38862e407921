//! The log of committed edits.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::Revision;

use crate::Edit;

/// A committed edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The revision that the edit produced.
    pub revision: Revision,
    /// When the edit was committed, in milliseconds since 1970, by the clock of the process that
    /// committed it.
    pub committed_unix_ms: u64,
    /// The edit.
    pub edit: Edit,
}
