//! The settings of a whole workspace.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::KeyDigest;
use stallhoist_core::WorkspaceName;

use crate::CellError;
use crate::Column;
use crate::row::bad_value;
use crate::row::parse_percent;

/// The settings of a whole workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The digest of its bearer key; without one, all callers are rejected.
    pub key_digest: Option<KeyDigest>,
    /// The minimum share of good responses, in percent.
    pub quality_target_percent: u32,
}

impl WorkspaceRow {
    /// Creates a workspace without a key, so that no caller can use it yet.
    pub fn new(workspace: WorkspaceName) -> Self {
        Self { workspace, key_digest: None, quality_target_percent: 0 }
    }

    /// The text of a cell; empty for the columns of a target.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::KeyDigest => {
                self.key_digest.as_ref().map(ToString::to_string).unwrap_or_default()
            }
            Column::QualityTargetPercent => self.quality_target_percent.to_string(),
            _ => String::new(),
        }
    }

    /// Sets a cell from its text.
    ///
    /// # Errors
    /// Fails when the value is invalid for the column, or the column belongs to a target.
    pub fn set_cell(&mut self, column: Column, value: &str) -> Result<(), CellError> {
        match column {
            Column::KeyDigest if value.is_empty() => self.key_digest = None,
            Column::KeyDigest => {
                let expected = "64 lower-case hexadecimal digits, the SHA-256 of the key";
                let digest = value.parse().map_err(|_| bad_value(value, expected))?;
                self.key_digest = Some(digest);
            }
            Column::QualityTargetPercent => self.quality_target_percent = parse_percent(value)?,
            _ => return Err(CellError::TargetColumn(column.to_string())),
        }
        Ok(())
    }
}
