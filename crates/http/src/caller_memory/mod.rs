//! The memory that requests and responses of callers hold.
//!
//! `policy::memory` decides who gets it. A reservation is closed when its holder is dropped.
//!
//! Lock order: the lock is never held together with another.

mod buffer;
mod reservation;

use std::collections::HashMap;
use std::sync::Arc;

use displaydoc::Display;
use parking_lot::Mutex;
use stallhoist_coordination::ProcessClock;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::memory::Growth;
use stallhoist_policy::memory::MemoryLedger;
use stallhoist_policy::memory::MemoryLimits;
use stallhoist_policy::memory::ReservationId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

pub use buffer::BufferError;
pub use buffer::ReservedBuffer;
pub use reservation::Reservation;
pub use reservation::ReservedBytes;

/// Memory of the host, as the system tells it.
pub fn system_memory_bytes() -> usize {
    let system = rustix::system::sysinfo();
    let unit_bytes = usize::try_from(system.mem_unit).unwrap_or(1);
    usize::try_from(system.totalram).unwrap_or(usize::MAX).saturating_mul(unit_bytes)
}

/// the host has no memory left for it
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, thiserror::Error)]
pub struct NoMemory;

#[derive(Debug)]
struct Reservations {
    ledger: MemoryLedger,
    /// Cancelled when the reservation is evicted.
    signals: HashMap<ReservationId, CancellationToken>,
}

/// The memory that requests and responses of callers hold.
#[derive(Debug)]
pub struct CallerMemory {
    reservations: Mutex<Reservations>,
    closed: Notify,
    clock: ProcessClock,
}

impl CallerMemory {
    /// Creates the memory of callers, of which nothing is in use.
    pub fn new(limits: MemoryLimits, clock: ProcessClock) -> Self {
        let reservations =
            Reservations { ledger: MemoryLedger::new(limits), signals: HashMap::new() };
        Self { reservations: Mutex::new(reservations), closed: Notify::new(), clock }
    }

    /// Opens a reservation of a request that is being read. `evicted` is cancelled when it is evicted.
    pub fn open_request(self: &Arc<Self>, evicted: CancellationToken) -> Reservation {
        let now = self.clock.now();
        let mut reservations = self.reservations.lock();
        let id = reservations.ledger.open_request(now);
        reservations.signals.insert(id, evicted.clone());
        Reservation::new(Arc::clone(self), id, evicted)
    }

    /// Opens a reservation of a response to a request of a workspace. It is not evicted while it is received.
    pub fn open_response(self: &Arc<Self>, workspace: Option<WorkspaceName>) -> Reservation {
        let now = self.clock.now();
        let mut reservations = self.reservations.lock();
        let id = reservations.ledger.open_response(now, workspace);
        Reservation::new(Arc::clone(self), id, CancellationToken::new())
    }

    /// Memory that the reservations hold.
    pub fn used_bytes(&self) -> usize {
        self.reservations.lock().ledger.used_bytes()
    }

    fn grow(&self, id: ReservationId, bytes: usize) -> Growth {
        let now = self.clock.now();
        let mut reservations = self.reservations.lock();
        let growth = reservations.ledger.grow(now, id, bytes);
        if let Growth::Pending { evicted } = &growth {
            evicted.iter().filter_map(|id| reservations.signals.get(id)).for_each(|s| s.cancel());
        }
        growth
    }
}
