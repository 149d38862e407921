//! The memory that requests and responses of callers hold.
//!
//! `policy::memory` decides who gets it. A claim is closed when its holder is dropped.
//!
//! Lock order: the lock is never held together with another.

mod buffer;
mod claim;

use std::collections::HashMap;
use std::sync::Arc;

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

pub use buffer::BufferError;
pub use buffer::ClaimedBuffer;
pub use claim::Claim;
pub use claim::ClaimedBytes;

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
struct Claims {
    ledger: MemoryLedger,
    /// Cancelled when the claim has to give way.
    signals: HashMap<ClaimId, CancellationToken>,
}

/// The memory that requests and responses of callers hold.
#[derive(Debug)]
pub struct CallerMemory {
    claims: Mutex<Claims>,
    closed: Notify,
    clock: ProcessClock,
}

impl CallerMemory {
    /// Creates the memory of callers, of which nothing is in use.
    pub fn new(limits: MemoryLimits, clock: ProcessClock) -> Self {
        let claims = Claims { ledger: MemoryLedger::new(limits), signals: HashMap::new() };
        Self { claims: Mutex::new(claims), closed: Notify::new(), clock }
    }

    /// Opens a claim of a request that is being read. `given_up` is cancelled when it has to give way.
    pub fn open_request(self: &Arc<Self>, given_up: CancellationToken) -> Claim {
        let now = self.clock.now();
        let mut claims = self.claims.lock();
        let id = claims.ledger.open_request(now);
        claims.signals.insert(id, given_up.clone());
        Claim::new(Arc::clone(self), id, given_up)
    }

    /// Opens a claim of a response to a request of a workspace. It does not give way while it is received.
    pub fn open_response(self: &Arc<Self>, workspace: Option<WorkspaceName>) -> Claim {
        let now = self.clock.now();
        let mut claims = self.claims.lock();
        let id = claims.ledger.open_response(now, workspace);
        claims.ledger.keep(id);
        Claim::new(Arc::clone(self), id, CancellationToken::new())
    }

    /// Memory that the claims hold.
    pub fn used_bytes(&self) -> usize {
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
