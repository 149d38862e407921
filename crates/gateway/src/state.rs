//! What the tasks of a gateway share, each part behind the lock of its owner.
//!
//! Lock order: no task holds two of these locks at once.

use std::collections::BTreeMap;
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
use stallhoist_policy::cascade::StepUpConfig;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_settings::GatewaySettings;
use tokio::sync::Notify;

use crate::control_store::Feed;
use crate::control_store::ListedEntry;
use crate::decision_log::DecisionLog;
use crate::dialect::Dialect;
use crate::fatal::FatalRequestTracker;
use crate::metrics::Metrics;
use crate::peers::FeedCache;
use crate::peers::PeerList;
use crate::planned_stop::PlannedStop;
use crate::planned_stop::ResponseShape;
use crate::retry_budgets::RetryBudgets;
use crate::rollouts::Rollouts;
use crate::routing::RoutingConfig;
use crate::sessions::Sessions;
use crate::suspend_recovery::SuspendRecovery;
use crate::upstreams::Upstreams;

/// A session is remembered for a little longer than it lasts: the caller counts from when
/// it has the answer.
const SESSION_MARGIN: Duration = Duration::from_millis(500);

/// What the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) upstreams: Arc<Upstreams>,
    pub(crate) rollouts: Mutex<Rollouts>,
    pub(crate) sessions: Mutex<Sessions>,
    pub(crate) retries: Mutex<RetryBudgets>,
    /// Requests under which upstreams have ended.
    pub(crate) fatal: FatalRequestTracker,
    pub(crate) step_up: StepUpConfig,
    /// Other entries of the system.
    pub(crate) peers: Mutex<PeerList>,
    /// Where the news of each feed came from last; none means the store.
    pub(crate) news_from: Mutex<BTreeMap<Feed, Option<SocketAddr>>>,
    /// What this entry has read of the store, for others that ask.
    pub(crate) feed_cache: FeedCache,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: DecisionLog,
    pub(crate) suspend_recovery: SuspendRecovery,
    clock: ProcessClock,
    config: RwLock<Option<Arc<RoutingConfig>>>,
    store_era: AtomicU64,
    has_members: AtomicBool,
    has_rollouts: AtomicBool,
    has_fatal_requests: AtomicBool,
    has_limits: AtomicBool,
    /// The planned stop that is under way.
    stop: Mutex<Option<PlannedStop>>,
    in_progress: AtomicUsize,
    sync_changed: Notify,
    /// How often the platform was told that callers should not be sent here.
    not_ready_answers: AtomicUsize,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        clock: ProcessClock,
    ) -> Self {
        let session_lifetime = settings.session.as_duration() + SESSION_MARGIN;
        let retries = &settings.retries;
        let budget = RetryBudget::new(retries.budget_percent(), retries.burst_of(1));
        let below_confidence = settings.step_up.below_confidence_percent.clone();
        Self {
            upstreams: Arc::new(Upstreams::new(&settings)),
            rollouts: Mutex::new(Rollouts::new(RolloutConfig::within(
                settings.rollouts.max_exposure,
            ))),
            sessions: Mutex::new(Sessions::new(session_lifetime)),
            retries: Mutex::new(RetryBudgets::new(budget)),
            fatal: FatalRequestTracker::default(),
            step_up: StepUpConfig { below_confidence },
            peers: Mutex::new(PeerList::new(settings.host.id.clone(), settings.host.zone.clone())),
            news_from: Mutex::default(),
            feed_cache: FeedCache::default(),
            metrics: Metrics::default(),
            decisions: DecisionLog::default(),
            suspend_recovery: SuspendRecovery::new(clock.clone()),
            clock,
            config: RwLock::new(None),
            store_era: AtomicU64::new(0),
            has_members: AtomicBool::new(false),
            has_rollouts: AtomicBool::new(false),
            has_fatal_requests: AtomicBool::new(false),
            has_limits: AtomicBool::new(false),
            stop: Mutex::new(None),
            in_progress: AtomicUsize::new(0),
            sync_changed: Notify::new(),
            not_ready_answers: AtomicUsize::new(0),
            settings,
            dialect,
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The routing configuration in force; none before the first was read.
    pub(crate) fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.config.read().clone()
    }

    /// Takes a configuration into force, unless one as new is in force already.
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
        *current = Some(config);
        drop(current);
        self.sync_changed.notify_waiters();
    }

    /// The list of upstreams has been read.
    pub(crate) fn set_has_members(&self) {
        self.has_members.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// The store was heard of in an era.
    pub(crate) fn observe_store_era(&self, era: StoreEra) {
        let before = self.store_era.fetch_max(era.0, Ordering::SeqCst);
        self.metrics.store_era.set(i64::try_from(before.max(era.0)).unwrap_or(i64::MAX));
    }

    /// The latest era that the store was heard of in.
    pub(crate) fn store_era(&self) -> StoreEra {
        StoreEra(self.store_era.load(Ordering::SeqCst))
    }

    /// The records of roll-outs have been read.
    pub(crate) fn set_has_rollouts(&self) {
        self.has_rollouts.store(true, Ordering::SeqCst);
    }

    /// Whether the records of roll-outs have been read.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.has_rollouts.load(Ordering::SeqCst)
    }

    /// It is known which requests are held back, or has been waited for long enough.
    pub(crate) fn set_has_fatal_requests(&self) {
        self.has_fatal_requests.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// It is known which limits of upstreams hold, or has been waited for long enough.
    pub(crate) fn set_has_limits(&self) {
        self.has_limits.store(true, Ordering::SeqCst);
        self.sync_changed.notify_waiters();
    }

    /// Whether enough is known to decide about requests.
    pub(crate) fn is_synced(&self) -> bool {
        let has_lists = self.has_members.load(Ordering::SeqCst)
            && self.has_fatal_requests.load(Ordering::SeqCst)
            && self.has_limits.load(Ordering::SeqCst);
        has_lists && self.config.read().is_some() && !self.suspend_recovery.is_resyncing()
    }

    /// News of a feed came.
    pub(crate) fn mark_received(&self, feed: Feed) {
        self.suspend_recovery.mark_received(feed);
        self.sync_changed.notify_waiters();
    }

    /// Waits until enough is known, for `longest` at most. Says whether it is.
    pub(crate) async fn wait_until_synced(&self, longest: Duration) -> bool {
        let sync_changed = async {
            loop {
                let notified = self.sync_changed.notified();
                if self.is_synced() {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(longest, sync_changed).await.is_ok()
    }

    /// Answers the platform's question whether callers should be sent here.
    pub(crate) fn answer_readiness(&self) -> bool {
        let is_ready = self.is_ready();
        if self.is_leaving() {
            self.not_ready_answers.fetch_add(1, Ordering::SeqCst);
        }
        is_ready
    }

    /// How often the platform was told so since this entry began to leave.
    pub(crate) fn not_ready_answers(&self) -> usize {
        self.not_ready_answers.load(Ordering::SeqCst)
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_synced() && !self.is_leaving()
    }

    /// Whether a stop has been asked for.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.lock().is_some()
    }

    /// A stop is asked for now.
    pub(crate) fn begin_stop(&self) {
        let grace = self.settings.stop.grace.as_duration();
        *self.stop.lock() = Some(PlannedStop::new(self.now(), grace));
    }

    /// When a process that was told to stop ends; now if it was not told.
    pub(crate) fn planned_end(&self) -> MonoTime {
        let now = self.now();
        self.stop.lock().map_or(now, |stop| stop.end())
    }

    /// Whether a new request is still taken.
    pub(crate) fn accepts(&self, work: ResponseShape) -> bool {
        let now = self.now();
        self.stop.lock().is_none_or(|stop| stop.accepts(now, work))
    }

    /// Another entry is listed: what all may do together is divided among more.
    pub(crate) fn gateway_listed(&self, entry: ListedEntry) {
        self.upstreams.gateway_listed(entry.host.clone());
        let entries = {
            let mut peers = self.peers.lock();
            peers.add(entry);
            peers.count()
        };
        self.retries.lock().set_burst(self.settings.retries.burst_of(entries));
    }

    /// It shows that a start of an upstream has ended. What broke off there lately did so by its end, unless
    /// it had said that it leaves: then it ended as planned.
    pub(crate) fn confirm_termination(&self, start: &UpstreamIncarnation) {
        if !self.upstreams.has_announced(start) {
            self.fatal.record_termination(self.now(), start);
        }
    }

    /// Requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}

/// Counts a request in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<GatewayState>);

impl InProgressGuard {
    pub(crate) fn count(state: &Arc<GatewayState>) -> Self {
        state.in_progress.fetch_add(1, Ordering::SeqCst);
        state.metrics.in_progress.inc();
        Self(Arc::clone(state))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.in_progress.dec();
    }
}
