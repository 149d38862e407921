//! Edits of the table, with the values that the edited cells are expected to hold.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::EditId;

use crate::CellAddress;

/// A change of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellChange {
    /// The address of the cell.
    pub address: CellAddress,
    /// The value that the cell must hold before the edit; empty for a cell of a missing row.
    pub expect: String,
    /// The value to write.
    pub value: String,
}

/// An edit of the table, applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The id of the edit. A client whose reply was lost uses it to find out whether the edit was
    /// committed.
    pub id: EditId,
    /// The author, as identified by the operators' endpoint.
    #[serde(default)]
    pub author: String,
    /// The changed cells.
    pub cells: Vec<CellChange>,
}
