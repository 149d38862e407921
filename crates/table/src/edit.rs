//! An edit: cells, and the values expected to stand in them.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::EditId;

use crate::CellAddress;

/// A change of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellChange {
    /// Which cell.
    pub address: CellAddress,
    /// What it is expected to hold; empty for a cell of a row that is not there.
    pub expect: String,
    /// What it shall hold.
    pub value: String,
}

/// An edit of the table, applied whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The edit's identity, by which a lost reply is settled.
    pub id: EditId,
    /// Who made it, as the operators' endpoint knows.
    #[serde(default)]
    pub author: String,
    /// The cells.
    pub cells: Vec<CellChange>,
}
