//! Claims of idempotency keys, so that what must not be repeated runs at most once.
//!
//! A claim is a record `claims/<workspace>/<key>` that names the request that holds
//! it. It is written if absent, before anything is dispatched. Claims that come close
//! together share a write. A lost reply is settled by reading the record back: whose
//! request stands in it holds the claim.

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

const PREFIX: &str = "claims/";
const MAX_WAITING: usize = 10_000;

/// Why a claim was not won.
#[derive(Debug, Clone, Display, thiserror::Error)]
pub enum ClaimError {
    /// request {0} holds the key
    Taken(RequestId),
    /// the store does not answer; the claim may have been written
    Unavailable,
}

/// A claim to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingClaim {
    /// Whose key it is.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
    /// The request that claims it.
    pub request: RequestId,
}

impl PendingClaim {
    fn record_key(&self) -> String {
        format!("{PREFIX}{}/{}", self.workspace, self.key)
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    request: RequestId,
}

type Waiter = (PendingClaim, oneshot::Sender<Result<(), ClaimError>>);

/// Makes and releases claims for one entry. Claims share writes.
#[derive(Debug, Clone)]
pub struct ClaimStore {
    platform: PlatformClient,
    waiting: mpsc::Sender<Waiter>,
}

impl ClaimStore {
    /// Starts the task that writes claims; each waits at most `batch_time` for others,
    /// and at most `max_batch` share a write.
    pub fn start(platform: PlatformClient, batch_time: Duration, max_batch: usize) -> Self {
        let (waiting, incoming) = mpsc::channel(MAX_WAITING);
        let store = Self { platform, waiting };
        let writer = store.platform.clone();
        tokio::spawn(write_batches(writer, incoming, batch_time, max_batch));
        store
    }

    /// Makes a claim.
    ///
    /// # Errors
    /// [`ClaimError::Taken`] when another request holds the key;
    /// [`ClaimError::Unavailable`] when that is not known: then nothing may be
    /// dispatched, and the claim is to be released.
    pub async fn claim(&self, claim: PendingClaim) -> Result<(), ClaimError> {
        let (tell, told) = oneshot::channel();
        let queued = self.waiting.try_send((claim, tell));
        queued.map_err(|_| ClaimError::Unavailable)?;
        told.await.unwrap_or(Err(ClaimError::Unavailable))
    }

    /// Releases a claim if the request holds it.
    ///
    /// # Errors
    /// Fails when the store does not answer; it is safe to try again.
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
    mut incoming: mpsc::Receiver<Waiter>,
    batch_time: Duration,
    max_batch: usize,
) {
    while let Some(first) = incoming.recv().await {
        let mut batch = vec![first];
        let closes = tokio::time::Instant::now() + batch_time;
        while batch.len() < max_batch {
            match tokio::time::timeout_at(closes, incoming.recv()).await {
                Ok(Some(waiter)) => batch.push(waiter),
                _ => break,
            }
        }
        // Writes overlap, so that a slow one does not hold up the next.
        tokio::spawn(write_batch(platform.clone(), batch));
    }
}

/// Writes a batch. A conflict fails the whole transaction, so the conflicting claims
/// are answered and the rest is written again.
async fn write_batch(platform: PlatformClient, batch: Vec<Waiter>) {
    let mut left = answer_doubled(batch);
    while !left.is_empty() {
        let transaction = claims_transaction(&left);
        match platform.commit(&transaction).await {
            Ok(()) => return answer(left, &Ok(())),
            Err(StoreError::Conflict(conflicts)) => {
                for conflict in conflicts {
                    let at = left.iter().position(|(claim, _)| claim.record_key() == conflict.key);
                    if let Some(at) = at {
                        let (claim, tell) = left.swap_remove(at);
                        let _ = tell.send(verdict(&claim, conflict.found.as_ref()));
                    }
                }
            }
            Err(StoreError::Unsettled(_)) => return read_back(&platform, left).await,
            Err(_) => return answer(left, &Err(ClaimError::Unavailable)),
        }
    }
}

/// Two claims of one key in one batch: the first goes on, the others are taken.
fn answer_doubled(batch: Vec<Waiter>) -> Vec<Waiter> {
    let mut kept: Vec<Waiter> = Vec::with_capacity(batch.len());
    for (claim, tell) in batch {
        let key = claim.record_key();
        match kept.iter().find(|(other, _)| other.record_key() == key) {
            Some((first, _)) => {
                let _ = tell.send(Err(ClaimError::Taken(first.request)));
            }
            None => kept.push((claim, tell)),
        }
    }
    kept
}

fn claims_transaction(claims: &[Waiter]) -> Transaction {
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

async fn read_back(platform: &PlatformClient, claims: Vec<Waiter>) {
    for (claim, tell) in claims {
        let outcome = match platform.read(&claim.record_key()).await {
            Ok(Some(record)) => verdict(&claim, Some(&record)),
            // Not there yet may mean not there ever, or still on its way.
            Ok(None) | Err(_) => Err(ClaimError::Unavailable),
        };
        let _ = tell.send(outcome);
    }
}

fn verdict(claim: &PendingClaim, found: Option<&Record>) -> Result<(), ClaimError> {
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

fn answer(claims: Vec<Waiter>, outcome: &Result<(), ClaimError>) {
    for (_, tell) in claims {
        let _ = tell.send(outcome.clone());
    }
}
