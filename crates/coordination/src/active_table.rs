//! The table in force in one process.

use std::sync::Arc;

use stallhoist_core::Revision;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;
use tokio::sync::watch;

/// What became of a table or an edit that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// It is in force now.
    Newer,
    /// What is in force is at least as new.
    NotNewer,
    /// It does not follow what is in force: the whole table is needed.
    Gap,
}

/// The table in force in one process. Invariant: its revision never falls.
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
    /// The table in force; none until the first came.
    pub fn current(&self) -> Option<Arc<Table>> {
        self.current.borrow().clone()
    }

    /// The revision in force; zero until the first table came.
    pub fn revision(&self) -> Revision {
        self.current.borrow().as_ref().map(|table| table.revision).unwrap_or_default()
    }

    /// Changes of the table, for those who wait for them.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Table>>> {
        self.current.subscribe()
    }

    /// Puts a whole table in force if it is newer.
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

    /// Puts a committed edit in force if it follows.
    pub fn apply(&self, entry: &LogEntry) -> InstallOutcome {
        let mut outcome = InstallOutcome::NotNewer;
        self.current.send_if_modified(|current| {
            let base = match current {
                Some(held) if held.revision >= entry.revision => return false,
                Some(held) => held.with_entry(entry),
                None => Table::default().with_entry(entry),
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
