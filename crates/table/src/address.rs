//! Where a cell is.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;

use crate::CellError;
use crate::Column;

const SEPARATOR: char = '/';
/// Stands for the target in the address of a workspace's own columns.
pub(crate) const WHOLE_WORKSPACE: &str = "*";

/// Where a cell is: `workspace/target/column`, or `workspace/*/column`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CellAddress {
    /// The row's workspace.
    pub workspace: WorkspaceName,
    /// The row's target; none for a workspace's own columns.
    pub target: Option<Target>,
    /// The column.
    pub column: Column,
}

impl CellAddress {
    /// Checks that the column belongs to the kind of row.
    ///
    /// # Errors
    /// Fails when a workspace's column is asked of a target, or the reverse.
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
