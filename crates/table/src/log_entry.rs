//! An edit with its place in the history.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::Revision;

use crate::Edit;

/// A committed edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The revision the edit made.
    pub revision: Revision,
    /// When it was committed, in milliseconds since 1970, by the committer's clock.
    pub committed_unix_ms: u64,
    /// The edit.
    pub edit: Edit,
}
