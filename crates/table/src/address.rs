//! Addresses of cells.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;

use crate::CellError;
use crate::Column;

const SEPARATOR: char = '/';
/// Replaces the target in the address of a column that belongs to a whole workspace.
pub(crate) const WHOLE_WORKSPACE: &str = "*";

/// The address of a cell: `workspace/target/column`, or `workspace/*/column`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CellAddress {
    /// The row's workspace.
    pub workspace: WorkspaceName,
    /// The row's target; `None` for the columns of a whole workspace.
    pub target: Option<Target>,
    /// The column.
    pub column: Column,
}

impl CellAddress {
    /// Checks that the column exists in this kind of row.
    ///
    /// # Errors
    /// Fails when a column of a whole workspace is addressed with a target, or a column of a
    /// target without one.
    pub fn check(&self) -> Result<(), CellError> {
        match (self.column.is_workspace_column(), &self.target) {
            (true, Some(_)) => Err(CellError::WorkspaceColumn(self.column.to_string())),
            (false, None) => Err(CellError::TargetColumn(self.column.to_string())),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for CellAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}", self.workspace)?;
        match &self.target {
            Some(target) => write!(f, "{target}{SEPARATOR}{}", self.column),
            None => write!(f, "{WHOLE_WORKSPACE}{SEPARATOR}{}", self.column),
        }
    }
}

impl FromStr for CellAddress {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let (workspace, rest) = text.split_once(SEPARATOR).ok_or(CellError::BadAddress)?;
        let (target, column) = rest.rsplit_once(SEPARATOR).ok_or(CellError::BadAddress)?;
        let target = match target {
            WHOLE_WORKSPACE => None,
            named => Some(named.parse()?),
        };
        let address = Self { workspace: workspace.parse()?, target, column: column.parse()? };
        address.check()?;
        Ok(address)
    }
}

impl TryFrom<String> for CellAddress {
    type Error = CellError;

    fn try_from(text: String) -> Result<Self, CellError> {
        text.parse()
    }
}

impl From<CellAddress> for String {
    fn from(address: CellAddress) -> Self {
        address.to_string()
    }
}
