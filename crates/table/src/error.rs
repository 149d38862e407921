//! What can be wrong with a cell, an edit or a sheet.

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::NameError;
use stallhoist_core::TargetError;

use crate::CellAddress;

/// What is wrong with a cell.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum CellError {
    /// there is no column '{0}'
    UnknownColumn(String),
    /// '{value}' does not fit: {expected} is expected
    BadValue {
        /// What was given.
        value: String,
        /// What would be right.
        expected: &'static str,
    },
    /// column '{0}' belongs to a workspace as a whole: write '*' for the target
    WorkspaceColumn(String),
    /// column '{0}' belongs to a target: name a model version or a service
    TargetColumn(String),
    /// a cell is written WORKSPACE/TARGET/COLUMN, with '*' for a workspace's own columns
    BadAddress,
    /// bad workspace name
    Workspace(#[from] NameError),
    /// bad target
    Target(#[from] TargetError),
}

/// A cell that does not hold what its editor expected to replace.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error, Serialize, Deserialize)]
#[displaydoc(
    "{address} holds '{found}', not the expected '{expected}'; '{wanted}' was not written"
)]
pub struct CellConflict {
    /// Which cell.
    pub address: CellAddress,
    /// What the editor expected it to hold.
    pub expected: String,
    /// What it holds.
    pub found: String,
    /// What the editor wanted it to hold.
    pub wanted: String,
}

/// Why an edit was not applied. Nothing of it was.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum EditError {
    /// the edit changes no cell
    Empty,
    /// cell {0}: {1}
    Cell(CellAddress, CellError),
    /// cells hold other values than the edit expects to replace
    Conflict(Vec<CellConflict>),
    /// the edit was made for revision {expected}, this table is at {found}
    WrongRevision {
        /// The revision the edit follows.
        expected: u64,
        /// The table's revision.
        found: u64,
    },
}

/// Why a sheet in CSV was not taken.
#[derive(Debug, Display, thiserror::Error)]
pub enum SheetError {
    /// the sheet is not CSV
    Csv(#[from] csv::Error),
    /// line {line}: {cause}
    Cell {
        /// The line of the sheet, from 1.
        line: u64,
        /// What is wrong there.
        cause: CellError,
    },
    /// the first two columns of a sheet are 'workspace' and 'target'
    Heading,
}
