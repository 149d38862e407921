//! Claims of idempotency keys, so that a non-repeatable request runs at most once.
//!
//! A claim is a record `claims/<workspace>/<key>` with the id of the request that holds it. It
//! is written if absent, before anything is dispatched. Claims are written in batches. After a
//! lost reply the record is read back: the request in it holds the claim.

use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::IdempotencyKey;
use stallhoist_core::RequestId;
use stallhoist_core::WorkspaceName;
use stallhoist_platform::Condition;
use stallhoist_platform::Expectation;
use stallhoist_platform::PlatformClient;
use stallhoist_platform::Put;
use stallhoist_platform::Record;
use stallhoist_platform::StoreError;
use stallhoist_platform::Transaction;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

const KEY_PREFIX: &str = "claims/";
const MAX_QUEUED_CLAIMS: usize = 10_000;

/// Why a claim was not acquired.
#[derive(Debug, Clone, Display, thiserror::Error)]
pub enum ClaimError {
    /// request {0} holds the key
    Taken(RequestId),
    /// the store does not respond; the claim may have been written
    Unavailable,
}

/// A claim to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingClaim {
    /// The workspace of the key.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
    /// The request that claims it.
    pub request: RequestId,
}

impl PendingClaim {
    fn record_key(&self) -> String {
        format!("{KEY_PREFIX}{}/{}", self.workspace, self.key)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    request: RequestId,
}

type QueuedClaim = (PendingClaim, oneshot::Sender<Result<(), ClaimError>>);

/// Acquires and releases claims for one entry, in batches.
#[derive(Debug, Clone)]
pub struct ClaimStore {
    platform: PlatformClient,
    queue: mpsc::Sender<QueuedClaim>,
}

impl ClaimStore {
    /// Starts the task that writes claims in batches of at most `max_batch`, each collected for
    /// at most `batch_time`.
    pub fn start(platform: PlatformClient, batch_time: Duration, max_batch: usize) -> Self {
        let (queue, incoming) = mpsc::channel(MAX_QUEUED_CLAIMS);
        let store = Self { platform, queue };
        let writer = store.platform.clone();
        tokio::spawn(write_batches(writer, incoming, batch_time, max_batch));
        store
    }

    /// Acquires a claim.
    ///
    /// # Errors
    /// [`ClaimError::Taken`] if another request holds the key. [`ClaimError::Unavailable`] if the
    /// outcome is unknown; then nothing may be dispatched, and the claim has to be released.
    pub async fn claim(&self, claim: PendingClaim) -> Result<(), ClaimError> {
        let (reply, response) = oneshot::channel();
        let queued = self.queue.try_send((claim, reply));
        queued.map_err(|_| ClaimError::Unavailable)?;
        response.await.unwrap_or(Err(ClaimError::Unavailable))
    }

    /// Releases a claim if the request holds it.
    ///
    /// # Errors
    /// Fails if the store does not respond; a retry is safe.
    pub async fn release(&self, claim: &PendingClaim) -> Result<(), StoreError> {
        let key = claim.record_key();
        let Some(record) = self.platform.read(&key).await? else {
            return Ok(());
        };
        if holder(&record) != Some(claim.request) {
            return Ok(());
        }
        let expect = Expectation::Version(record.version);
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), expect }],
            puts: Vec::new(),
            deletes: vec![key],
        };
        match self.platform.commit(&transaction).await {
            Ok(()) | Err(StoreError::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

async fn write_batches(
    platform: PlatformClient,
    mut incoming: mpsc::Receiver<QueuedClaim>,
    batch_time: Duration,
    max_batch: usize,
) {
    while let Some(first) = incoming.recv().await {
        let mut batch = vec![first];
        let batch_end = tokio::time::Instant::now() + batch_time;
        while batch.len() < max_batch {
            match tokio::time::timeout_at(batch_end, incoming.recv()).await {
                Ok(Some(waiter)) => batch.push(waiter),
                _ => break,
            }
        }
        // Batches are written concurrently, so that a slow write does not delay the next.
        tokio::spawn(write_batch(platform.clone(), batch));
    }
}

/// Writes a batch. A conflict fails the whole transaction, so the conflicting claims are
/// rejected and the rest is written again.
async fn write_batch(platform: PlatformClient, batch: Vec<QueuedClaim>) {
    let mut left = reject_duplicates(batch);
    while !left.is_empty() {
        let transaction = claims_transaction(&left);
        match platform.commit(&transaction).await {
            Ok(()) => return reply_all(left, &Ok(())),
            Err(StoreError::Conflict(conflicts)) => {
                for conflict in conflicts {
                    let at = left.iter().position(|(claim, _)| claim.record_key() == conflict.key);
                    if let Some(at) = at {
                        let (claim, reply) = left.swap_remove(at);
                        let _ = reply.send(claim_result(&claim, conflict.found.as_ref()));
                    }
                }
            }
            Err(StoreError::Unsettled(_)) => return read_back(&platform, left).await,
            Err(_) => return reply_all(left, &Err(ClaimError::Unavailable)),
        }
    }
}

/// Keeps the first claim of each key in a batch and rejects the others.
fn reject_duplicates(batch: Vec<QueuedClaim>) -> Vec<QueuedClaim> {
    let mut kept: Vec<QueuedClaim> = Vec::with_capacity(batch.len());
    for (claim, reply) in batch {
        let key = claim.record_key();
        match kept.iter().find(|(other, _)| other.record_key() == key) {
            Some((first, _)) => {
                let _ = reply.send(Err(ClaimError::Taken(first.request)));
            }
            None => kept.push((claim, reply)),
        }
    }
    kept
}

fn claims_transaction(claims: &[QueuedClaim]) -> Transaction {
    let mut transaction = Transaction::default();
    for (claim, _) in claims {
        let key = claim.record_key();
        let value = ClaimValue { request: claim.request };
        let value = serde_json::to_value(value).expect("a claim is plain data");
        let condition = Condition { key: key.clone(), expect: Expectation::Absent };
        transaction.conditions.push(condition);
        transaction.puts.push(Put { key, value });
    }
    transaction
}

async fn read_back(platform: &PlatformClient, claims: Vec<QueuedClaim>) {
    for (claim, reply) in claims {
        let outcome = match platform.read(&claim.record_key()).await {
            Ok(Some(record)) => claim_result(&claim, Some(&record)),
            // The write may have failed or may still be in progress.
            Ok(None) | Err(_) => Err(ClaimError::Unavailable),
        };
        let _ = reply.send(outcome);
    }
}

fn claim_result(claim: &PendingClaim, found: Option<&Record>) -> Result<(), ClaimError> {
    match found.and_then(holder) {
        Some(request) if request == claim.request => Ok(()),
        Some(request) => Err(ClaimError::Taken(request)),
        None => Err(ClaimError::Unavailable),
    }
}

fn holder(record: &Record) -> Option<RequestId> {
    let value: ClaimValue = serde_json::from_value(record.value.clone()).ok()?;
    Some(value.request)
}

fn reply_all(claims: Vec<QueuedClaim>, outcome: &Result<(), ClaimError>) {
    for (_, reply) in claims {
        let _ = reply.send(outcome.clone());
    }
}
