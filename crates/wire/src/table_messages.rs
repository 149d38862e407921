//! Conversion of tables and edits to messages, which carry the JSON documents that the platform's store holds.

use stallhoist_core::Revision;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;

use crate::WireError;
use crate::messages::TableEdit;
use crate::messages::TablePull;
use crate::messages::TableSnapshot;
use crate::messages::frame::Body;

/// Converts a complete table to a message.
pub fn table_to_wire(table: &Table) -> Body {
    let table_json = serde_json::to_vec(table).expect("a table is always serializable");
    Body::TableSnapshot(TableSnapshot { revision: table.revision.0, table_json })
}

/// Converts a message to a complete table.
///
/// # Errors
/// Fails if the document isn't a table.
pub fn table_from_wire(message: &TableSnapshot) -> Result<Table, WireError> {
    serde_json::from_slice(&message.table_json).map_err(|_| WireError::BadField("table_json"))
}

/// Converts a committed edit to a message.
pub fn entry_to_wire(entry: &LogEntry) -> Body {
    let entry_json = serde_json::to_vec(entry).expect("a log entry is always serializable");
    Body::TableEdit(TableEdit { revision: entry.revision.0, entry_json })
}

/// Converts a message to a committed edit.
///
/// # Errors
/// Fails if the document isn't an edit.
pub fn entry_from_wire(message: &TableEdit) -> Result<LogEntry, WireError> {
    serde_json::from_slice(&message.entry_json).map_err(|_| WireError::BadField("entry_json"))
}

/// Message that requests the complete table; `held` is the revision that the sender has.
pub fn table_pull(held: Revision) -> Body {
    Body::TablePull(TablePull { held_revision: held.0 })
}
