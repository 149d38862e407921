//! The table in the platform's store.
//!
//! Three kinds of record: `table/head` (revision and edit, small, polled),
//! `table/snapshot` (the whole table), `table/log/<revision>` (the history), and
//! `table/edits/<id>` (which revision an edit made). One transaction writes all
//! four, on the condition that the head is as it was read and the edit is not there.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::EditId;
use stallhoist_core::Revision;
use stallhoist_platform::Condition;
use stallhoist_platform::Expectation;
use stallhoist_platform::PlatformClient;
use stallhoist_platform::Put;
use stallhoist_platform::Record;
use stallhoist_platform::StoreError;
use stallhoist_platform::Transaction;
use stallhoist_table::Edit;
use stallhoist_table::EditError;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;

const HEAD_KEY: &str = "table/head";
const SNAPSHOT_KEY: &str = "table/snapshot";
const LOG_PREFIX: &str = "table/log/";
const EDIT_PREFIX: &str = "table/edits/";
const MAX_COMMIT_TRIES: usize = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
const MAX_LOG_PAGE: usize = 500;

/// Why an edit was not accepted.
#[derive(Debug, Display, thiserror::Error)]
pub enum CommitError {
    /// the edit does not apply: {0}
    Edit(EditError),
    /// the store did not say whether the edit was written: ask again with the same edit id
    Unsettled,
    /// the store cannot be reached; nothing was written
    Unavailable(#[source] StoreError),
    /// a record of the table is not what this version writes: {0}
    Malformed(String),
    /// too many others edit at the same time; nothing was written
    Contended,
}

/// The newest revision, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHead {
    /// The revision.
    pub revision: Revision,
    /// The edit that made it.
    pub edit: EditId,
}

/// The table in the platform's store.
#[derive(Debug, Clone)]
pub struct TableStore {
    platform: PlatformClient,
}

impl TableStore {
    /// The table in this platform's store.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the newest revision; none when there was no edit yet.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn head(&self) -> Result<Option<TableHead>, CommitError> {
        let record = self.read(HEAD_KEY).await?;
        record.map(|record| decode(&record)).transpose()
    }

    /// Reads the whole table; an empty one when there was no edit yet.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn table(&self) -> Result<Table, CommitError> {
        match self.read(SNAPSHOT_KEY).await? {
            Some(record) => decode(&record),
            None => Ok(Table::default()),
        }
    }

    /// Reads the edits after a revision, oldest first, at most 500.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn history(&self, after: Revision) -> Result<Vec<LogEntry>, CommitError> {
        let after = log_key(after);
        let page = self.platform.list(LOG_PREFIX, &after, MAX_LOG_PAGE).await;
        let page = page.map_err(CommitError::Unavailable)?;
        page.records.iter().map(decode).collect()
    }

    /// Commits an edit and gives its place in the history. Edits of other cells that
    /// were committed meanwhile stay; an edit whose id is in the store already is not
    /// written again.
    ///
    /// # Errors
    /// Fails when the edit conflicts or is invalid, or the store does not answer. Only
    /// [`CommitError::Unsettled`] leaves open whether it was written.
    pub async fn commit(&self, edit: &Edit) -> Result<LogEntry, CommitError> {
        for _ in 0..MAX_COMMIT_TRIES {
            if let Some(entry) = self.find(edit.id).await? {
                return Ok(entry);
            }
            let head = self.read(HEAD_KEY).await?;
            let table = self.table().await?;
            let next = table.with_edit(edit).map_err(CommitError::Edit)?;
            let entry = LogEntry {
                revision: next.revision,
                committed_unix_ms: unix_ms(),
                edit: edit.clone(),
            };
            let transaction = transaction(head.as_ref(), &next, &entry);
            match self.platform.commit(&transaction).await {
                Ok(()) => return Ok(entry),
                // Somebody else was first, or our own lost write was.
                Err(StoreError::Conflict(_)) => {}
                Err(StoreError::Unsettled(_)) => return self.settle(edit.id).await,
                Err(error) => return Err(CommitError::Unavailable(error)),
            }
        }
        Err(CommitError::Contended)
    }

    /// The place in the history of an edit that is in the store.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn find(&self, edit: EditId) -> Result<Option<LogEntry>, CommitError> {
        let Some(record) = self.read(&edit_key(edit)).await? else {
            return Ok(None);
        };
        let revision: Revision = decode(&record)?;
        let entry = self.read(&log_key(revision)).await?;
        entry.map(|record| decode(&record)).transpose()
    }

    /// After a lost reply: the write either is in the store or is not, but it may be
    /// still on its way, so "not there" is believed of no single read.
    async fn settle(&self, edit: EditId) -> Result<LogEntry, CommitError> {
        const READS: usize = 5;
        for _ in 0..READS {
            if let Ok(Some(entry)) = self.find(edit).await {
                return Ok(entry);
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        Err(CommitError::Unsettled)
    }

    async fn read(&self, key: &str) -> Result<Option<Record>, CommitError> {
        self.platform.read(key).await.map_err(CommitError::Unavailable)
    }
}

fn transaction(head: Option<&Record>, next: &Table, entry: &LogEntry) -> Transaction {
    let head_is = match head {
        Some(record) => Expectation::Version(record.version),
        None => Expectation::Absent,
    };
    let edit_key = edit_key(entry.edit.id);
    let new_head = TableHead { revision: entry.revision, edit: entry.edit.id };
    Transaction {
        conditions: vec![
            Condition { key: HEAD_KEY.to_owned(), expect: head_is },
            Condition { key: edit_key.clone(), expect: Expectation::Absent },
        ],
        puts: vec![
            put(HEAD_KEY.to_owned(), &new_head),
            put(SNAPSHOT_KEY.to_owned(), next),
            put(log_key(entry.revision), entry),
            put(edit_key, &entry.revision),
        ],
        deletes: Vec::new(),
    }
}

fn put(key: String, value: &impl Serialize) -> Put {
    let value = serde_json::to_value(value).expect("the table's types are plain data");
    Put { key, value }
}

fn log_key(revision: Revision) -> String {
    // Twenty digits, so that the order of keys is the order of revisions.
    format!("{LOG_PREFIX}{:020}", revision.0)
}

fn edit_key(edit: EditId) -> String {
    format!("{EDIT_PREFIX}{edit}")
}

fn decode<T: for<'de> Deserialize<'de>>(record: &Record) -> Result<T, CommitError> {
    serde_json::from_value(record.value.clone())
        .map_err(|error| CommitError::Malformed(format!("{}: {error}", record.key)))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
