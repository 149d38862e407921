//! State shared by all tasks of a sidecar.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_coordination::ActiveTable;
use stallhoist_coordination::AttemptRegistry;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::UnsettledBills;
use stallhoist_core::AttemptId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_policy::admission::AdmissionConfig;
use stallhoist_policy::admission::AdmissionController;
use stallhoist_settings::SidecarSettings;
use stallhoist_settings::UpstreamKind;
use stallhoist_wire::FleetKey;
use stallhoist_wire::Identity;
use stallhoist_wire::messages::Evidence;
use stallhoist_wire::messages::Status;
use tokio::sync::Notify;

use crate::answer::Answer;
use crate::cache_view::CacheView;
use crate::evidence::EvidenceCounters;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Longer than any deadline, so that a late message still finds the record of its attempt.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(3_900);

/// State shared by all tasks of a sidecar. The crate documentation states the lock order.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: SidecarSettings,
    pub(crate) identity: Identity,
    pub(crate) fleet_key: FleetKey,
    pub(crate) clock: ProcessClock,
    pub(crate) http: reqwest::Client,
    pub(crate) table: ActiveTable,
    pub(crate) answers: Mutex<HashMap<AttemptId, Arc<Answer>>>,
    pub(crate) registry: Mutex<AttemptRegistry<AttemptId>>,
    pub(crate) admission: Mutex<AdmissionController<AttemptId>>,
    pub(crate) bills: Mutex<UnsettledBills>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) cache_view: Mutex<CacheView>,
    pub(crate) evidence: Mutex<EvidenceCounters>,
    pub(crate) metrics: Metrics,
    /// Notified when queued attempts may start or the queue has changed.
    pub(crate) admission_changed: Notify,
    /// Whether an entry has confirmed a revision since the last progress report.
    pub(crate) progress_changed: AtomicBool,
    is_leaving: AtomicBool,
}

impl Shared {
    pub(crate) fn new(settings: SidecarSettings) -> Self {
        let identity = Identity {
            host: settings.host.id.clone(),
            zone: settings.host.zone.clone(),
            incarnation: IncarnationId::generate(),
        };
        // The upstream is on this host, so proxy settings of the environment are ignored.
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .expect("the HTTP client has no settings that can fail");
        Self {
            fleet_key: FleetKey::new(settings.host.fleet_key.reveal()),
            identity,
            clock: ProcessClock::start(),
            http,
            table: ActiveTable::default(),
            answers: Mutex::default(),
            registry: Mutex::new(AttemptRegistry::new(ATTEMPT_RETENTION)),
            admission: Mutex::new(AdmissionController::new(admission_config(&settings))),
            bills: Mutex::default(),
            peers: Mutex::default(),
            cache_view: Mutex::default(),
            evidence: Mutex::default(),
            metrics: Metrics::default(),
            admission_changed: Notify::new(),
            progress_changed: AtomicBool::new(false),
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

    pub(crate) fn is_engine(&self) -> bool {
        self.settings.upstream.kind == UpstreamKind::Engine
    }

    /// The status message to entries. The first one on a connection holds all counters and the
    /// served targets; later ones hold the counters that have changed.
    pub(crate) fn status(&self, is_first: bool) -> Status {
        let counts =
            if is_first { self.evidence.lock().all() } else { self.evidence.lock().take_changed() };
        let evidence = counts.into_iter().map(|(target, evidence)| Evidence {
            target: target.to_string(),
            answers: evidence.answers,
            failures: evidence.failures,
            ratings: evidence.ratings,
            poor_ratings: evidence.poor_ratings,
        });
        let serves = if is_first { self.settings.upstream.serves.as_slice() } else { &[] };
        Status {
            revision: self.table.revision().0,
            leaving: self.is_leaving(),
            serves: serves.iter().map(ToString::to_string).collect(),
            evidence: evidence.collect(),
            in_flight_requests: u32::try_from(self.admission.lock().in_flight())
                .unwrap_or(u32::MAX),
        }
    }
}

fn admission_config(settings: &SidecarSettings) -> AdmissionConfig {
    let admission = &settings.admission;
    AdmissionConfig {
        token_interval_target: Duration::from_secs_f64(
            admission.token_interval_target_ms / 1_000.0,
        ),
        max_in_flight_requests: admission.max_in_flight_requests,
        max_queue_len_requests: admission.max_queue_len_requests,
        first_token_target: Duration::from_millis(admission.first_token_target_ms),
        ..AdmissionConfig::default()
    }
}
