//! The state that all tasks of an entry share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_coordination::ActiveTable;
use stallhoist_coordination::ClaimStore;
use stallhoist_coordination::Ledger;
use stallhoist_coordination::PendingClaim;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::TableStore;
use stallhoist_core::ByteSize;
use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_core::Revision;
use stallhoist_http::caller_memory::CallerMemory;
use stallhoist_http::caller_memory::system_memory_bytes;
use stallhoist_platform::PlatformClient;
use stallhoist_policy::guard::Guard;
use stallhoist_policy::guard::GuardConfig;
use stallhoist_policy::memory::MemoryLimits;
use stallhoist_policy::retry::Ejection;
use stallhoist_policy::retry::EjectionConfig;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_settings::EntrySettings;
use stallhoist_wire::FleetKey;
use stallhoist_wire::Identity;
use stallhoist_wire::messages::Status;
use tokio::sync::watch;

use crate::billing::PendingBills;
use crate::learners::Learners;
use crate::limits::FleetLimits;
use crate::mesh::Links;
use crate::metrics::Metrics;
use crate::session::SessionKeys;

/// Memory of the process without request bodies: its HTTP library buffers what it reads of each connection.
const PROCESS_BYTES: usize = 52_000_000;

/// The state that all tasks of an entry share. The lock order is documented at the crate.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) identity: Identity,
    pub(crate) fleet_key: FleetKey,
    pub(crate) session_keys: SessionKeys,
    pub(crate) clock: ProcessClock,
    pub(crate) platform: PlatformClient,
    pub(crate) table: ActiveTable,
    pub(crate) table_store: TableStore,
    pub(crate) claims: ClaimStore,
    pub(crate) ledger: Ledger,
    pub(crate) links: Links,
    pub(crate) bills: Mutex<PendingBills>,
    /// The highest revision that is known to be active on each host.
    pub(crate) holders: watch::Sender<HashMap<HostId, Revision>>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) ejection: Mutex<Ejection>,
    pub(crate) guard: Mutex<Guard>,
    pub(crate) learners: Mutex<Learners>,
    pub(crate) limits: Mutex<FleetLimits>,
    /// Claims that may be stored although their request did not run, and that must be released.
    pub(crate) unreleased: Mutex<Vec<PendingClaim>>,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: AtomicUsize,
    /// The memory that request bodies hold.
    pub(crate) memory: Arc<CallerMemory>,
    is_leaving: AtomicBool,
}

impl Shared {
    /// Must be called on a Tokio runtime, since it spawns the writer of claims.
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
        let platform = PlatformClient::new(&settings.platform.url, call_timeout);
        let identity = Identity {
            host: settings.host.id.clone(),
            zone: settings.host.zone.clone(),
            incarnation: IncarnationId::generate(),
        };
        let clock = ProcessClock::start();
        let memory = settings.callers.host_memory;
        let memory_bytes = memory.map_or_else(system_memory_bytes, ByteSize::as_bytes);
        let batch_time = Duration::from_millis(settings.claims.batch_ms);
        let max_batch = settings.claims.max_batch;
        let retries = &settings.retries;
        let ejection = EjectionConfig {
            after_failures: retries.eject_after_failures,
            pause: Duration::from_millis(retries.eject_ms),
            max_percent: retries.max_ejected_percent,
        };
        Self {
            fleet_key: FleetKey::new(settings.host.fleet_key.reveal()),
            session_keys: SessionKeys::new(&settings.session_keys),
            identity,
            clock: clock.clone(),
            table: ActiveTable::default(),
            table_store: TableStore::new(platform.clone()),
            claims: ClaimStore::start(platform.clone(), batch_time, max_batch),
            ledger: Ledger::new(platform.clone()),
            platform,
            links: Links::default(),
            bills: Mutex::default(),
            holders: watch::Sender::default(),
            retries: Mutex::new(RetryBudget::new(retries.budget_percent, retries.burst)),
            ejection: Mutex::new(Ejection::new(ejection)),
            guard: Mutex::new(Guard::new(GuardConfig::default())),
            learners: Mutex::default(),
            limits: Mutex::default(),
            unreleased: Mutex::default(),
            metrics: Metrics::default(),
            in_flight: AtomicUsize::new(0),
            memory: Arc::new(CallerMemory::new(
                MemoryLimits::of_host(memory_bytes, PROCESS_BYTES),
                clock,
            )),
            is_leaving: AtomicBool::new(false),
            settings,
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    pub(crate) fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// The status that this entry sends to its sidecars.
    pub(crate) fn status(&self) -> Status {
        Status {
            revision: self.table.revision().0,
            leaving: self.is_leaving(),
            ..Status::default()
        }
    }
}
