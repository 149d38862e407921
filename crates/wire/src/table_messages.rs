//! Tables and edits as messages: the JSON documents that the platform's store keeps.

use stallhoist_core::Revision;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;

use crate::WireError;
use crate::messages::TableEdit;
use crate::messages::TablePull;
use crate::messages::TableSnapshot;
use crate::messages::frame::Body;

/// A whole table as a message.
pub fn table_to_wire(table: &Table) -> Body {
    let table_json = serde_json::to_vec(table).expect("the table is plain data");
    Body::TableSnapshot(TableSnapshot { revision: table.revision.0, table_json })
}

/// A whole table out of a message.
///
/// # Errors
/// Fails when the document is not a table.
pub fn table_from_wire(message: &TableSnapshot) -> Result<Table, WireError> {
    serde_json::from_slice(&message.table_json).map_err(|_| WireError::BadField("table_json"))
}

/// A committed edit as a message.
pub fn entry_to_wire(entry: &LogEntry) -> Body {
    let entry_json = serde_json::to_vec(entry).expect("a log entry is plain data");
    Body::TableEdit(TableEdit { revision: entry.revision.0, entry_json })
}

/// A committed edit out of a message.
///
/// # Errors
/// Fails when the document is not an edit.
pub fn entry_from_wire(message: &TableEdit) -> Result<LogEntry, WireError> {
    serde_json::from_slice(&message.entry_json).map_err(|_| WireError::BadField("entry_json"))
}

/// Asks for the whole table.
pub fn table_pull(held: Revision) -> Body {
    Body::TablePull(TablePull { held_revision: held.0 })
}
