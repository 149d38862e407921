//! Reservations on the memory for callers, and the bytes that they stand for.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::memory::Growth;
use stallhoist_policy::memory::ReservationId;
use tokio_util::sync::CancellationToken;

use super::CallerMemory;
use super::NoMemory;

/// A reservation on the memory for callers, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<CallerMemory>,
    id: ReservationId,
    evicted: CancellationToken,
}

impl Reservation {
    pub(super) fn new(
        memory: Arc<CallerMemory>,
        id: ReservationId,
        evicted: CancellationToken,
    ) -> Self {
        Self { memory, id, evicted }
    }

    /// Records the workspace that the request belongs to.
    pub fn set_workspace(&self, workspace: Option<WorkspaceName>) {
        self.memory.reservations.lock().ledger.set_workspace(self.id, workspace);
    }

    /// Signals its eviction in another way from now on.
    pub fn signal(mut self, evicted: CancellationToken) -> Self {
        self.memory.reservations.lock().signals.insert(self.id, evicted.clone());
        self.evicted = evicted;
        self
    }

    /// Memory that it holds.
    pub(super) fn bytes(&self) -> usize {
        self.memory.reservations.lock().ledger.bytes_of(self.id)
    }

    /// Grows to this size, also while others are evicted.
    ///
    /// # Errors
    /// Fails when there is no room, or this reservation is evicted.
    pub fn grow_now(&self, bytes: usize) -> Result<(), NoMemory> {
        match self.memory.grow(self.id, bytes) {
            Growth::Granted => Ok(()),
            Growth::Pending { .. } => {
                self.memory.reservations.lock().ledger.record_growth(self.id, bytes);
                Ok(())
            }
            Growth::Refused => Err(NoMemory),
        }
    }

    /// Grows to this size, and waits while others are evicted.
    ///
    /// # Errors
    /// Fails when there is no room, or this reservation is evicted.
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

    /// Cancelled when this reservation is evicted.
    pub fn eviction_signal(&self) -> CancellationToken {
        self.evicted.clone()
    }

    /// Waits until another reservation has ended.
    pub(super) async fn another_ended(&self) {
        self.memory.closed.notified().await;
    }

    /// Protects it from eviction.
    ///
    /// # Errors
    /// Fails when it was evicted before.
    pub(super) fn protect(&self) -> Result<(), NoMemory> {
        if self.memory.reservations.lock().ledger.protect(self.id) { Ok(()) } else { Err(NoMemory) }
    }

    /// Lets it be evicted from now on, which `evicted` signals.
    pub fn unprotect(self, evicted: CancellationToken) -> Self {
        self.memory.reservations.lock().ledger.unprotect(self.id);
        self.signal(evicted)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut reservations = self.memory.reservations.lock();
        reservations.ledger.close(self.id);
        reservations.signals.remove(&self.id);
        drop(reservations);
        self.memory.closed.notify_waiters();
    }
}

/// Bytes and the reservation on their memory.
#[derive(Debug)]
pub struct ReservedBytes {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl ReservedBytes {
    pub(super) fn new(bytes: Vec<u8>, reservation: Reservation) -> Self {
        Self { bytes, reservation }
    }

    /// The reservation lasts for as long as the bytes are used.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    /// The same. From now on it may be evicted, which `evicted` signals.
    pub fn unprotect(self, evicted: CancellationToken) -> Bytes {
        let Self { bytes, reservation } = self;
        Self { bytes, reservation: reservation.unprotect(evicted) }.into_bytes()
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
