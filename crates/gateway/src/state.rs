//! State shared by the tasks of a gateway, each part behind a lock of its own.
//!
//! Lock order: no task holds two of these locks at once.

mod in_progress;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::RwLock;
use stallhoist_coordination::ProcessClock;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::WorkspaceName;
use stallhoist_http::caller_memory::CallerMemory;
use stallhoist_policy::cascade::StepUpConfig;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::RolloutSettings;
use tokio::sync::Notify;

use crate::admission::Admission;
use crate::admission::RunningRequest;
use crate::attempt_times::AttemptTimes;
use crate::control_store::Feed;
use crate::control_store::ListedEntry;
use crate::decision_log::DecisionLog;
use crate::dialect::Dialect;
use crate::duties::Duties;
use crate::fatal::FatalSubjectTracker;
use crate::host_limits::HostLimits;
use crate::metrics::Metrics;
use crate::peers::FeedCache;
use crate::peers::PeerList;
use crate::peers::PendingListings;
use crate::planned_stop::PlannedStop;
use crate::request::Call;
use crate::retry_budgets::RetryBudgets;
use crate::rollouts::ProcessRun;
use crate::rollouts::Rollouts;
use crate::routing::RoutingConfig;
use crate::sessions::Sessions;
use crate::suspend_recovery::SuspendRecovery;
use crate::upstreams::Upstreams;

pub(crate) use in_progress::InProgressGuard;

/// Sessions are remembered for a little longer than they last, as the caller counts from when it
/// has the response.
const SESSION_MARGIN: Duration = Duration::from_millis(500);

/// State shared by the tasks of a gateway.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) upstreams: Arc<Upstreams>,
    /// The run of this process, by which peers tell its counts from those before a restart.
    pub(crate) run: ProcessRun,
    pub(crate) rollouts: Mutex<Rollouts>,
    pub(crate) sessions: Mutex<Sessions>,
    pub(crate) retries: Mutex<RetryBudgets>,
    pub(crate) attempt_times: AttemptTimes,
    /// Requests during which upstreams crashed.
    pub(crate) fatal: FatalSubjectTracker,
    pub(crate) step_up: StepUpConfig,
    /// Requests that wait for room at the upstreams.
    pub(crate) admission: Arc<Admission>,
    /// What the host can bear.
    pub(crate) host: HostLimits,
    /// The memory that requests and responses of callers hold.
    pub(crate) memory: Arc<CallerMemory>,
    /// The gateways of the system.
    pub(crate) peers: Mutex<PeerList>,
    /// Where the latest data of each feed came from; `None` means the store.
    pub(crate) news_from: Mutex<BTreeMap<Feed, Option<SocketAddr>>>,
    /// Gateways that this one is to list.
    pub(crate) listings: PendingListings,
    /// What this gateway has read of the store, to serve its peers.
    pub(crate) feed_cache: FeedCache,
    /// The duties that one gateway at a time performs; none if there are no such.
    pub(crate) duties: Option<Duties>,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: DecisionLog,
    pub(crate) suspend_recovery: SuspendRecovery,
    clock: ProcessClock,
    config: RwLock<Option<Arc<RoutingConfig>>>,
    store_era: AtomicU64,
    has_members: AtomicBool,
    has_gateways: AtomicBool,
    has_rollouts: AtomicBool,
    has_fatal_requests: AtomicBool,
    has_limits: AtomicBool,
    /// The planned stop in progress.
    stop: Mutex<Option<PlannedStop>>,
    stop_requested: Notify,
    in_progress: AtomicUsize,
    sync_changed: Notify,
    /// Number of readiness queries answered negatively during a stop.
    not_ready_responses: AtomicUsize,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        clock: ProcessClock,
    ) -> Self {
        let session_lifetime = settings.session.as_duration() + SESSION_MARGIN;
        let retries = &settings.retries;
        let burst = match settings.seeds.as_slice() {
            [] => retries.burst_per_gateway(1),
            _ => retries.unlisted_burst(),
        };
        let budget = RetryBudget::restarted(retries.budget_percent(), burst);
        let duties = settings.duties.as_ref();
        let duties =
            duties.map(|duties| Duties::new(duties, settings.host.id.clone(), clock.now()));
        let metrics = Metrics::default();
        let below_confidence = settings.step_up.below_confidence_percent.clone();
        let host = HostLimits::of(&settings.host);
        let run = ProcessRun::random();
        let RolloutSettings { max_exposure, exposure_slack } = settings.rollouts;
        let rollout_config = RolloutConfig::within(max_exposure).with_slack(exposure_slack);
        Self {
            upstreams: Arc::new(Upstreams::new(&settings)),
            run,
            rollouts: Mutex::new(Rollouts::new(rollout_config).of_run(run)),
            sessions: Mutex::new(Sessions::new(session_lifetime)),
            retries: Mutex::new(RetryBudgets::new(budget, metrics.retries.clone())),
            attempt_times: AttemptTimes::new(retries.budget_percent()),
            fatal: FatalSubjectTracker::default(),
            step_up: StepUpConfig { below_confidence },
            admission: Arc::new(Admission::new(&settings.decisions)),
            host,
            memory: Arc::new(CallerMemory::new(host.memory, clock.clone())),
            peers: Mutex::new(PeerList::new(settings.host.id.clone(), settings.host.zone.clone())),
            news_from: Mutex::default(),
            listings: PendingListings::default(),
            feed_cache: FeedCache::default(),
            duties,
            metrics,
            decisions: DecisionLog::default(),
            suspend_recovery: SuspendRecovery::new(clock.clone()),
            clock,
            config: RwLock::new(None),
            store_era: AtomicU64::new(0),
            has_members: AtomicBool::new(false),
            has_gateways: AtomicBool::new(false),
            has_rollouts: AtomicBool::new(false),
            has_fatal_requests: AtomicBool::new(false),
            has_limits: AtomicBool::new(false),
            stop: Mutex::new(None),
            stop_requested: Notify::new(),
            in_progress: AtomicUsize::new(0),
            sync_changed: Notify::new(),
            not_ready_responses: AtomicUsize::new(0),
            settings,
            dialect,
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The active routing configuration; `None` before the first one was read.
    pub(crate) fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.config.read().clone()
    }

    /// Activates a configuration unless one as new is active already.
    pub(crate) fn install_config(&self, config: Arc<RoutingConfig>) {
        let mut current = self.config.write();
        if current.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        self.metrics.config_version.set(i64::try_from(config.version.0).unwrap_or(i64::MAX));
        log::info!(
            version:% = config.version,
            routes = config.routes.len();
            "configuration in force"
        );
        let services = config.services.values();
        let cold = services.map(|service| (service.name.clone(), service.cold));
        self.upstreams.set_cold_services(cold.collect());
        *current = Some(Arc::clone(&config));
        drop(current);
        let routes: HashSet<_> = config.routes.iter().map(|route| &route.name).collect();
        self.upstreams.retain_routes(|route| routes.contains(route));
        self.sync_changed.notify_waiters();
    }

    /// Records that the list of upstreams has been read.
    pub(crate) fn set_has_members(&self) {
        self.has_members.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// Records the store era of a response.
    pub(crate) fn observe_store_era(&self, era: StoreEra) {
        let before = self.store_era.fetch_max(era.0, Ordering::SeqCst);
        self.metrics.store_era.set(i64::try_from(before.max(era.0)).unwrap_or(i64::MAX));
    }

    /// The latest known store era.
    pub(crate) fn store_era(&self) -> StoreEra {
        StoreEra(self.store_era.load(Ordering::SeqCst))
    }

    /// Records that the rollout records have been read.
    pub(crate) fn set_has_rollouts(&self) {
        self.has_rollouts.store(true, Ordering::SeqCst);
    }

    /// Whether the rollout records have been read.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.has_rollouts.load(Ordering::SeqCst)
    }

    /// Records that the quarantined requests are known, or were waited for long enough.
    pub(crate) fn set_has_fatal_requests(&self) {
        self.has_fatal_requests.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// Records that the upstreams' rate limits are known, or were waited for long enough.
    pub(crate) fn set_has_limits(&self) {
        self.has_limits.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// Whether the state that decisions on requests need is known.
    pub(crate) fn is_synced(&self) -> bool {
        let has_lists = self.has_members.load(Ordering::SeqCst)
            && self.has_fatal_requests.load(Ordering::SeqCst)
            && self.has_limits.load(Ordering::SeqCst);
        has_lists && self.config.read().is_some() && !self.suspend_recovery.is_resyncing()
    }

    /// Records that a feed was received.
    pub(crate) fn mark_received(&self, feed: Feed) {
        self.suspend_recovery.mark_received(feed);
        self.sync_changed.notify_waiters();
    }

    /// Waits until the required state is known, for `max_wait` at most. Returns whether it is.
    pub(crate) async fn wait_until_synced(&self, max_wait: Duration) -> bool {
        let sync_changed = async {
            loop {
                let notified = self.sync_changed.notified();
                if self.is_synced() {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(max_wait, sync_changed).await.is_ok()
    }

    /// Responds to the platform's readiness query.
    pub(crate) fn respond_readiness(&self) -> bool {
        let is_ready = self.is_ready();
        if self.is_leaving() {
            self.not_ready_responses.fetch_add(1, Ordering::SeqCst);
        }
        is_ready
    }

    /// Number of negative readiness responses since this gateway began to leave.
    pub(crate) fn not_ready_responses(&self) -> usize {
        self.not_ready_responses.load(Ordering::SeqCst)
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_synced() && !self.is_leaving()
    }

    /// Whether a stop has been requested.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.lock().is_some()
    }

    /// Begins a planned stop.
    pub(crate) fn begin_stop(&self) {
        let grace = self.settings.stop.grace.as_duration();
        *self.stop.lock() = Some(PlannedStop::new(self.now(), grace));
        self.stop_requested.notify_waiters();
        self.duties.iter().for_each(Duties::wake);
        self.feed_cache.wake_pollers();
        self.admission.wake_all();
    }

    /// When a stopping process ends; now without a stop.
    pub(crate) fn planned_end(&self) -> MonoTime {
        let now = self.now();
        self.stop.lock().map_or(now, |stop| stop.end())
    }

    /// Waits until the host resumes from suspension past a request's deadline: timers do not advance while it is
    /// suspended.
    pub(crate) async fn resumed_past(&self, deadline: MonoTime) {
        loop {
            self.suspend_recovery.woken().await;
            if self.now() >= deadline {
                return;
            }
        }
    }

    /// Whether a new request is still accepted whose response is due by `deadline`.
    pub(crate) fn accepts(&self, deadline: MonoTime) -> bool {
        let now = self.now();
        self.stop.lock().is_none_or(|stop| stop.accepts(now, deadline))
    }

    /// When a stopping process has responded to all requests; none without a stop.
    pub(crate) fn responses_due(&self) -> Option<MonoTime> {
        self.stop.lock().map(|stop| stop.responses_due())
    }

    /// Waits until a stopping process has to respond to all requests.
    pub(crate) async fn until_responses_due(&self) {
        loop {
            let stop_requested = self.stop_requested.notified();
            let Some(due) = self.responses_due() else {
                stop_requested.await;
                continue;
            };
            let left = due.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// Adds a listed gateway: fleet-wide limits are divided among more.
    pub(crate) fn gateway_listed(&self, entry: ListedEntry) {
        self.upstreams.gateway_listed(entry.host.clone());
        let listed_with = {
            let mut peers = self.peers.lock();
            peers.add(entry);
            peers.is_local_listed().then(|| peers.count())
        };
        if let Some(entries) = listed_with {
            self.retries.lock().set_burst(self.settings.retries.burst_per_gateway(entries));
        }
    }

    /// Records that the list of gateways has been read, of this era of the store. The first list tells whether an earlier
    /// process at this host listed itself, unless the store was restored and may have lost its row.
    pub(crate) fn set_has_gateways(&self, era: StoreEra) {
        let is_first = !self.has_gateways.swap(true, Ordering::SeqCst);
        let may_be_lost = era > StoreEra::default();
        if is_first && !may_be_lost && !self.peers.lock().is_local_listed() {
            self.retries.lock().set_new_host();
        }
    }

    /// Handles the confirmed termination of an upstream's incarnation. Streams that broke there
    /// recently are attributed to it, unless the upstream had announced that it leaves, which makes
    /// it a planned one.
    pub(crate) fn confirm_termination(&self, start: &UpstreamIncarnation) {
        if !self.upstreams.has_announced(start) {
            self.fatal.record_termination(self.now(), start);
        }
    }

    /// Counts a request of a workspace that an upstream began to run at `began`.
    pub(crate) fn record_run(&self, began: MonoTime, workspace: Option<&WorkspaceName>) {
        if let (Some(duties), Some(workspace)) = (&self.duties, workspace) {
            duties.record_run(began, workspace);
        }
    }

    /// Counts an attempt of a request as one that takes a place, until the result is dropped.
    pub(crate) fn running(&self, call: &Call) -> RunningRequest {
        let admission = Arc::clone(&self.admission);
        let is_stream = call.route.is_stream;
        RunningRequest::new(admission, self.clock.clone(), call.service_name.clone(), is_stream)
    }

    /// Number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}
