//! The operators' table: rows, cells, revisions and edits.
//!
//! This crate exists so that an edit means the same wherever it is applied: in
//! the operator's own check, in the transaction that commits it, and in each
//! process that hears of it. Applying an edit is a pure function from one table
//! to the next.
//!
//! Invariants: a table's revision grows by one with each edit; rows are unique
//! by workspace and target and kept in that order; an edit is applied whole or
//! not at all.

mod address;
mod column;
mod edit;
mod error;
mod log_entry;
mod row;
mod sheet;
mod state;
mod table;
mod workspace_row;

pub use address::CellAddress;
pub use column::Column;
pub use edit::CellChange;
pub use edit::Edit;
pub use error::CellConflict;
pub use error::CellError;
pub use error::EditError;
pub use error::SheetError;
pub use log_entry::LogEntry;
pub use row::Row;
pub use sheet::changes_from_csv;
pub use sheet::to_csv;
pub use state::VersionState;
pub use table::Table;
pub use workspace_row::WorkspaceRow;
