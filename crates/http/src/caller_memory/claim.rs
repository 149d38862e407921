//! Claims on the memory for callers, and the bytes that they stand for.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::memory::ClaimId;
use stallhoist_policy::memory::Growth;
use tokio_util::sync::CancellationToken;

use super::CallerMemory;
use super::NoMemory;

/// A claim on the memory for callers, until it is dropped.
#[derive(Debug)]
pub struct Claim {
    memory: Arc<CallerMemory>,
    id: ClaimId,
    given_up: CancellationToken,
}

impl Claim {
    pub(super) fn new(memory: Arc<CallerMemory>, id: ClaimId, given_up: CancellationToken) -> Self {
        Self { memory, id, given_up }
    }

    /// Records the workspace that the request belongs to.
    pub fn set_workspace(&self, workspace: Option<WorkspaceName>) {
        self.memory.claims.lock().ledger.set_workspace(self.id, workspace);
    }

    /// Signals in another way from now on when it has to give way.
    pub fn signal(mut self, given_up: CancellationToken) -> Self {
        self.memory.claims.lock().signals.insert(self.id, given_up.clone());
        self.given_up = given_up;
        self
    }

    /// Memory that it holds.
    pub(super) fn bytes(&self) -> usize {
        self.memory.claims.lock().ledger.bytes_of(self.id)
    }

    /// Grows to this size, also while others give way.
    ///
    /// # Errors
    /// Fails when there is no room, or this claim has to give way.
    pub fn grow_now(&self, bytes: usize) -> Result<(), NoMemory> {
        match self.memory.grow(self.id, bytes) {
            Growth::Granted => Ok(()),
            Growth::Pending { .. } => {
                self.memory.claims.lock().ledger.record_growth(self.id, bytes);
                Ok(())
            }
            Growth::Refused => Err(NoMemory),
        }
    }

    /// Grows to this size, and waits while others give way.
    ///
    /// # Errors
    /// Fails when there is no room, or this claim has to give way.
    pub(super) async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
        loop {
            let mut closed = pin!(self.memory.closed.notified());
            closed.as_mut().enable();
            match self.memory.grow(self.id, bytes) {
                Growth::Granted => return Ok(()),
                Growth::Refused => return Err(NoMemory),
                Growth::Pending { .. } => closed.await,
            }
        }
    }

    /// Cancelled when this claim has to give way.
    pub fn given_up_signal(&self) -> CancellationToken {
        self.given_up.clone()
    }

    /// Waits until another claim has ended.
    pub(super) async fn another_ended(&self) {
        self.memory.closed.notified().await;
    }

    /// Keeps it from giving way.
    ///
    /// # Errors
    /// Fails when it had to give way before.
    pub(super) fn keep(&self) -> Result<(), NoMemory> {
        if self.memory.claims.lock().ledger.keep(self.id) { Ok(()) } else { Err(NoMemory) }
    }

    /// Lets it give way from now on, which `given_up` signals.
    pub fn offer(self, given_up: CancellationToken) -> Self {
        self.memory.claims.lock().ledger.offer(self.id);
        self.signal(given_up)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut claims = self.memory.claims.lock();
        claims.ledger.close(self.id);
        claims.signals.remove(&self.id);
        drop(claims);
        self.memory.closed.notify_waiters();
    }
}

/// Bytes and the claim on their memory.
#[derive(Debug)]
pub struct ClaimedBytes {
    bytes: Vec<u8>,
    claim: Claim,
}

impl ClaimedBytes {
    pub(super) fn new(bytes: Vec<u8>, claim: Claim) -> Self {
        Self { bytes, claim }
    }

    /// The claim lasts for as long as the bytes are used.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// The same. From now on it may have to give way, which `given_up` signals.
    pub fn offer(self, given_up: CancellationToken) -> Bytes {
        let Self { bytes, claim } = self;
        Self { bytes, claim: claim.offer(given_up) }.into_bytes()
    }
}

impl AsRef<[u8]> for ClaimedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
