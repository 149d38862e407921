//! The table, and how edits are applied to it.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::KeyDigest;
use stallhoist_core::Revision;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;

use crate::CellAddress;
use crate::CellChange;
use crate::CellConflict;
use crate::CellError;
use crate::Edit;
use crate::EditError;
use crate::LogEntry;
use crate::Row;
use crate::WorkspaceRow;

/// The operators' table at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The revision. It grows by one with each edit.
    pub revision: Revision,
    /// The settings of whole workspaces, sorted by name.
    pub workspaces: Vec<WorkspaceRow>,
    /// The rows, sorted by workspace and target.
    pub rows: Vec<Row>,
}

impl Table {
    /// The workspace whose bearer key has this digest.
    pub fn workspace_of_key(&self, digest: &KeyDigest) -> Option<&WorkspaceRow> {
        let has_key = |row: &&WorkspaceRow| row.key_digest.as_ref() == Some(digest);
        self.workspaces.iter().find(has_key)
    }

    /// The settings of a whole workspace.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&WorkspaceRow> {
        let at = self.workspace_index(name).ok()?;
        Some(&self.workspaces[at])
    }

    /// The row of a workspace and a target.
    pub fn row(&self, workspace: &WorkspaceName, target: &Target) -> Option<&Row> {
        let at = self.row_index(workspace, target).ok()?;
        Some(&self.rows[at])
    }

    /// All rows of a workspace.
    pub fn rows_of<'a>(&'a self, workspace: &'a WorkspaceName) -> impl Iterator<Item = &'a Row> {
        self.rows.iter().filter(move |row| &row.workspace == workspace)
    }

    /// The text of a cell; empty if its row does not exist.
    pub fn cell(&self, address: &CellAddress) -> String {
        match &address.target {
            Some(target) => {
                self.row(&address.workspace, target).map(|row| row.cell(address.column))
            }
            None => self.workspace(&address.workspace).map(|row| row.cell(address.column)),
        }
        .unwrap_or_default()
    }

    /// Returns the next revision of the table: this one with the edit applied.
    ///
    /// # Errors
    /// Fails when the edit is empty, a cell is invalid, or a cell does not hold the value that
    /// the edit expects.
    pub fn with_edit(&self, edit: &Edit) -> Result<Self, EditError> {
        if edit.cells.is_empty() {
            return Err(EditError::Empty);
        }
        let conflicts: Vec<_> = edit.cells.iter().filter_map(|c| self.conflict(c)).collect();
        if !conflicts.is_empty() {
            return Err(EditError::Conflict(conflicts));
        }
        let mut next = self.clone();
        for change in &edit.cells {
            let in_cell = |cause| EditError::Cell(change.address.clone(), cause);
            next.set_cell(&change.address, &change.value).map_err(in_cell)?;
        }
        next.revision = self.revision.next();
        Ok(next)
    }

    /// Returns the next revision of the table: this one with a committed edit applied.
    ///
    /// # Errors
    /// Fails when the edit does not produce the revision that directly follows this one, or cannot
    /// be applied.
    pub fn with_log_entry(&self, entry: &LogEntry) -> Result<Self, EditError> {
        if entry.revision != self.revision.next() {
            return Err(EditError::WrongRevision {
                expected: entry.revision.0,
                found: self.revision.0,
            });
        }
        self.with_edit(&entry.edit)
    }

    fn conflict(&self, change: &CellChange) -> Option<CellConflict> {
        let found = self.cell(&change.address);
        if found == change.expect {
            return None;
        }
        Some(CellConflict {
            address: change.address.clone(),
            expected: change.expect.clone(),
            found,
            wanted: change.value.clone(),
        })
    }

    fn set_cell(&mut self, address: &CellAddress, value: &str) -> Result<(), CellError> {
        address.check()?;
        match &address.target {
            Some(target) => {
                let at = self.row_index_or_new(&address.workspace, target);
                self.rows[at].set_cell(address.column, value)
            }
            None => {
                let at = self.workspace_index_or_new(&address.workspace);
                self.workspaces[at].set_cell(address.column, value)
            }
        }
    }

    fn row_index(&self, workspace: &WorkspaceName, target: &Target) -> Result<usize, usize> {
        let wanted = (workspace, target);
        self.rows.binary_search_by(|row| (&row.workspace, &row.target).cmp(&wanted))
    }

    fn row_index_or_new(&mut self, workspace: &WorkspaceName, target: &Target) -> usize {
        self.row_index(workspace, target).unwrap_or_else(|at| {
            self.rows.insert(at, Row::new(workspace.clone(), target.clone()));
            at
        })
    }

    fn workspace_index(&self, name: &WorkspaceName) -> Result<usize, usize> {
        self.workspaces.binary_search_by(|row| row.workspace.cmp(name))
    }

    fn workspace_index_or_new(&mut self, name: &WorkspaceName) -> usize {
        self.workspace_index(name).unwrap_or_else(|at| {
            self.workspaces.insert(at, WorkspaceRow::new(name.clone()));
            at
        })
    }
}
