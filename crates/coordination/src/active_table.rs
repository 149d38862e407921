//! The active table of a process.

use std::sync::Arc;

use stallhoist_core::Revision;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;
use tokio::sync::watch;

/// The outcome of installing a table or applying an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// It is active now.
    Newer,
    /// The active table is at least as new.
    NotNewer,
    /// The edit does not follow the active revision; a snapshot is needed.
    Gap,
}

/// The active table of a process. Its revision never decreases.
#[derive(Debug)]
pub struct ActiveTable {
    current: watch::Sender<Option<Arc<Table>>>,
}

impl Default for ActiveTable {
    fn default() -> Self {
        Self { current: watch::Sender::new(None) }
    }
}

impl ActiveTable {
    /// The active table; none before the first one is installed.
    pub fn current(&self) -> Option<Arc<Table>> {
        self.current.borrow().clone()
    }

    /// The active revision; zero before the first table is installed.
    pub fn revision(&self) -> Revision {
        self.current.borrow().as_ref().map(|table| table.revision).unwrap_or_default()
    }

    /// Subscribes to changes of the active table.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Table>>> {
        self.current.subscribe()
    }

    /// Activates a table if it is newer.
    pub fn install(&self, table: Table) -> InstallOutcome {
        let mut outcome = InstallOutcome::NotNewer;
        self.current.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|held| held.revision < table.revision);
            if is_newer {
                *current = Some(Arc::new(table));
                outcome = InstallOutcome::Newer;
            }
            is_newer
        });
        outcome
    }

    /// Applies a committed edit if it follows the active revision.
    pub fn apply(&self, entry: &LogEntry) -> InstallOutcome {
        let mut outcome = InstallOutcome::NotNewer;
        self.current.send_if_modified(|current| {
            let base = match current {
                Some(held) if held.revision >= entry.revision => return false,
                Some(held) => held.with_log_entry(entry),
                None => Table::default().with_log_entry(entry),
            };
            match base {
                Ok(next) => {
                    *current = Some(Arc::new(next));
                    outcome = InstallOutcome::Newer;
                    true
                }
                Err(_) => {
                    outcome = InstallOutcome::Gap;
                    false
                }
            }
        });
        outcome
    }
}
