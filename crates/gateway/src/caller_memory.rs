//! The memory that requests and responses of callers hold.
//!
//! `policy::memory` decides who gets it. A claim is closed when its holder is dropped.
//!
//! Lock order: the lock is never held together with another.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use parking_lot::Mutex;
use stallhoist_coordination::ProcessClock;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::memory::ClaimId;
use stallhoist_policy::memory::Growth;
use stallhoist_policy::memory::MemoryLedger;
use stallhoist_policy::memory::MemoryLimits;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// the host has no memory left for it
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, thiserror::Error)]
pub(crate) struct NoMemory;

#[derive(Debug)]
struct Claims {
    ledger: MemoryLedger,
    /// Cancelled when the claim has to give way.
    signals: HashMap<ClaimId, CancellationToken>,
}

/// The memory that requests and responses of callers hold.
#[derive(Debug)]
pub(crate) struct CallerMemory {
    claims: Mutex<Claims>,
    closed: Notify,
    clock: ProcessClock,
}

impl CallerMemory {
    pub(crate) fn new(limits: MemoryLimits, clock: ProcessClock) -> Self {
        let claims = Claims { ledger: MemoryLedger::new(limits), signals: HashMap::new() };
        Self { claims: Mutex::new(claims), closed: Notify::new(), clock }
    }

    /// Opens a claim of a request that is being read. `given_up` is cancelled when it has to give way.
    pub(crate) fn open_request(self: &Arc<Self>, given_up: CancellationToken) -> Claim {
        let now = self.clock.now();
        let mut claims = self.claims.lock();
        let id = claims.ledger.open_request(now);
        claims.signals.insert(id, given_up.clone());
        Claim { memory: Arc::clone(self), id, given_up }
    }

    /// Memory that the claims hold.
    pub(crate) fn used_bytes(&self) -> usize {
        self.claims.lock().ledger.used_bytes()
    }

    fn grow(&self, id: ClaimId, bytes: usize) -> Growth {
        let now = self.clock.now();
        let mut claims = self.claims.lock();
        let growth = claims.ledger.grow(now, id, bytes);
        if let Growth::Pending { given_up } = &growth {
            given_up.iter().filter_map(|id| claims.signals.get(id)).for_each(|s| s.cancel());
        }
        growth
    }
}

/// A claim on the memory for callers, until it is dropped.
#[derive(Debug)]
pub(crate) struct Claim {
    memory: Arc<CallerMemory>,
    id: ClaimId,
    given_up: CancellationToken,
}

impl Claim {
    /// Records the workspace that the request belongs to.
    pub(crate) fn set_workspace(&self, workspace: Option<WorkspaceName>) {
        self.memory.claims.lock().ledger.set_workspace(self.id, workspace);
    }

    /// Signals in another way from now on when it has to give way.
    pub(crate) fn renew(mut self) -> Self {
        self.given_up = CancellationToken::new();
        self.memory.claims.lock().signals.insert(self.id, self.given_up.clone());
        self
    }

    /// Memory that it holds.
    pub(crate) fn bytes(&self) -> usize {
        self.memory.claims.lock().ledger.bytes_of(self.id)
    }

    /// Grows to this size, also while others give way.
    ///
    /// # Errors
    /// Fails when there is no room, or this claim has to give way.
    pub(crate) fn grow_now(&self, bytes: usize) -> Result<(), NoMemory> {
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
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
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

    /// Waits until this claim has to give way.
    pub(crate) async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Keeps this claim from giving way for as long as `bytes` are used.
    ///
    /// # Errors
    /// Fails when it had to give way before.
    pub(crate) fn keep(self, bytes: Vec<u8>) -> Result<Bytes, NoMemory> {
        if !self.memory.claims.lock().ledger.keep(self.id) {
            return Err(NoMemory);
        }
        Ok(Bytes::from_owner(ClaimedBytes { bytes, _claim: self }))
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
struct ClaimedBytes {
    bytes: Vec<u8>,
    _claim: Claim,
}

impl AsRef<[u8]> for ClaimedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
