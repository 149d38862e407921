//! Errors in cells, edits and sheets.

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::NameError;
use stallhoist_core::TargetError;

use crate::CellAddress;

/// Why a cell's address or value is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum CellError {
    /// there is no column '{0}'
    UnknownColumn(String),
    /// '{value}' does not fit: {expected} is expected
    BadValue {
        /// The invalid value.
        value: String,
        /// A description of valid values.
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

/// A cell whose value is not the one that the edit expects.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error, Serialize, Deserialize)]
#[displaydoc(
    "{address} holds '{found}', not the expected '{expected}'; '{wanted}' was not written"
)]
pub struct CellConflict {
    /// The address of the cell.
    pub address: CellAddress,
    /// The value that the edit expects.
    pub expected: String,
    /// The value that the cell holds.
    pub found: String,
    /// The value that the edit would have written.
    pub wanted: String,
}

/// Why an edit was not applied. No part of a failed edit takes effect.
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
        /// The revision that the edit produces.
        expected: u64,
        /// The current revision of the table.
        found: u64,
    },
}

/// Why a CSV sheet was rejected.
#[derive(Debug, Display, thiserror::Error)]
pub enum SheetError {
    /// the sheet is not valid CSV
    Csv(#[from] csv::Error),
    /// line {line}: {cause}
    Cell {
        /// The line number in the sheet, from 1.
        line: u64,
        /// The error in the cell.
        cause: CellError,
    },
    /// the first two columns of a sheet must be 'workspace' and 'target'
    Heading,
}
