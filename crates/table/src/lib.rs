//! The operators' table: rows, cells, revisions and edits.
//!
//! An edit is applied in several places: in the operator's client, which validates it,
//! in the transaction that commits it, and in each process that receives it. They all
//! use this crate, so that the result is the same everywhere. Applying an edit is a
//! pure function from one table to the next.
//!
//! Invariants: a table's revision grows by one with each edit; rows are unique by
//! workspace and target and sorted by them; an edit is applied completely or not at
//! all.
//!
//! Read `table` first, then `edit`, `address` and `row`.

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
