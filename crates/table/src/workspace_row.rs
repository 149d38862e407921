//! What belongs to a workspace as a whole.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::KeyDigest;
use stallhoist_core::WorkspaceName;

use crate::CellError;
use crate::Column;
use crate::row::bad_value;
use crate::row::parse_percent;

/// What belongs to a workspace as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The digest of its bearer key; none lets nobody in.
    pub key_digest: Option<KeyDigest>,
    /// The share of answers that must be good, in percent.
    pub quality_target_percent: u32,
}

impl WorkspaceRow {
    /// A workspace that nobody can use yet.
    pub fn new(workspace: WorkspaceName) -> Self {
        Self { workspace, key_digest: None, quality_target_percent: 0 }
    }

    /// What a cell shows; empty for a target's columns.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::KeyDigest => {
                self.key_digest.as_ref().map(ToString::to_string).unwrap_or_default()
            }
            Column::QualityTargetPercent => self.quality_target_percent.to_string(),
            _ => String::new(),
        }
    }

    /// Writes a cell.
    ///
    /// # Errors
    /// Fails when the value does not fit the column, or the column is a target's.
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
