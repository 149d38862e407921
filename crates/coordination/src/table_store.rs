//! The table in the platform's store.
//!
//! The records are `table/head` (revision and edit id; small, polled), `table/snapshot` (the
//! whole table), `table/log/<revision>` (the history) and `table/edits/<id>` (the revision that
//! an edit created). One transaction writes all four, on the condition that the head has not
//! changed since it was read and the edit id does not exist.

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
const MAX_COMMIT_ATTEMPTS: usize = 20;
const SETTLE_READ_INTERVAL: Duration = Duration::from_millis(100);
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

/// The newest revision in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHead {
    /// The revision.
    pub revision: Revision,
    /// The edit that created it.
    pub edit: EditId,
}

/// The table in the platform's store.
#[derive(Debug, Clone)]
pub struct TableStore {
    platform: PlatformClient,
}

impl TableStore {
    /// Creates a client of the table in the platform's store.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the newest revision; none before the first edit.
    ///
    /// # Errors
    /// Fails if the store does not respond or the record is malformed.
    pub async fn head(&self) -> Result<Option<TableHead>, CommitError> {
        let record = self.read(HEAD_KEY).await?;
        record.map(|record| decode(&record)).transpose()
    }

    /// Reads the whole table; an empty one before the first edit.
    ///
    /// # Errors
    /// Fails if the store does not respond or the record is malformed.
    pub async fn table(&self) -> Result<Table, CommitError> {
        match self.read(SNAPSHOT_KEY).await? {
            Some(record) => decode(&record),
            None => Ok(Table::default()),
        }
    }

    /// Reads the edits after a revision, oldest first, at most 500.
    ///
    /// # Errors
    /// Fails if the store does not respond or a record is malformed.
    pub async fn history(&self, after: Revision) -> Result<Vec<LogEntry>, CommitError> {
        let after = log_key(after);
        let page = self.platform.list(LOG_PREFIX, &after, MAX_LOG_PAGE).await;
        let page = page.map_err(CommitError::Unavailable)?;
        page.records.iter().map(decode).collect()
    }

    /// Commits an edit and returns its log entry. Concurrent edits of other cells are kept. An edit
    /// whose id is in the store already is not written again.
    ///
    /// # Errors
    /// Fails if the edit conflicts or is invalid, or the store does not respond. Only after
    /// [`CommitError::Unsettled`] is it unknown whether the edit was written.
    pub async fn commit(&self, edit: &Edit) -> Result<LogEntry, CommitError> {
        for _ in 0..MAX_COMMIT_ATTEMPTS {
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
                // Another edit was committed first, or an earlier try of this one.
                Err(StoreError::Conflict(_)) => {}
                Err(StoreError::Unsettled(_)) => return self.resolve_unsettled(edit.id).await,
                Err(error) => return Err(CommitError::Unavailable(error)),
            }
        }
        Err(CommitError::Contended)
    }

    /// The log entry of an edit; none if the edit is not in the store.
    ///
    /// # Errors
    /// Fails if the store does not respond or a record is malformed.
    pub async fn find(&self, edit: EditId) -> Result<Option<LogEntry>, CommitError> {
        let Some(record) = self.read(&edit_key(edit)).await? else {
            return Ok(None);
        };
        let revision: Revision = decode(&record)?;
        let entry = self.read(&log_key(revision)).await?;
        entry.map(|record| decode(&record)).transpose()
    }

    /// Determines the outcome of a write whose reply was lost. The write may still be in progress,
    /// so the edit counts as missing only after several reads.
    async fn resolve_unsettled(&self, edit: EditId) -> Result<LogEntry, CommitError> {
        const SETTLE_READS: usize = 5;
        for _ in 0..SETTLE_READS {
            if let Ok(Some(entry)) = self.find(edit).await {
                return Ok(entry);
            }
            tokio::time::sleep(SETTLE_READ_INTERVAL).await;
        }
        Err(CommitError::Unsettled)
    }

    async fn read(&self, key: &str) -> Result<Option<Record>, CommitError> {
        self.platform.read(key).await.map_err(CommitError::Unavailable)
    }
}

fn transaction(head: Option<&Record>, next: &Table, entry: &LogEntry) -> Transaction {
    let head_expectation = match head {
        Some(record) => Expectation::Version(record.version),
        None => Expectation::Absent,
    };
    let edit_key = edit_key(entry.edit.id);
    let new_head = TableHead { revision: entry.revision, edit: entry.edit.id };
    Transaction {
        conditions: vec![
            Condition { key: HEAD_KEY.to_owned(), expect: head_expectation },
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
    // 20 digits, so that keys sort by revision.
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
