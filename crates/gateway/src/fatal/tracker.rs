//! What the tasks of a gateway share of requests under which upstreams have ended.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::FatalChange;
use stallhoist_policy::fatal::FatalConfig;
use stallhoist_policy::fatal::FatalRequests;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control_store::StoredFatalRequest;
use crate::log_limit::LogLimit;
use crate::state::GatewayState;

/// So many requests may ask the store at once whether they may be tried again. Others are refused.
const MAX_CLAIMS: usize = 16;

/// A question whether this entry may try a request again, for the task that writes to the store.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) request: RequestFingerprint,
    pub(super) change: FatalChange,
    pub(super) answer: oneshot::Sender<bool>,
}

/// What the tasks of a gateway share of requests under which upstreams have ended.
#[derive(Debug)]
pub(crate) struct FatalRequestTracker {
    requests: Mutex<FatalRequests>,
    /// Whether anything is known: without, requests need no fingerprint.
    is_used: AtomicBool,
    has_unexplained_broken_streams: AtomicBool,
    /// Something is known that other entries should know at once.
    updates_available: Notify,
    /// For the lines on ends that cannot be read, which others can cause at will.
    unreadable: Mutex<LogLimit>,
    claims: mpsc::Sender<Claim>,
    /// For the task, which takes it.
    claimed: Mutex<Option<mpsc::Receiver<Claim>>>,
}

impl Default for FatalRequestTracker {
    fn default() -> Self {
        let (claims, claimed) = mpsc::channel(MAX_CLAIMS);
        Self {
            requests: Mutex::new(FatalRequests::new(FatalConfig::default())),
            is_used: AtomicBool::new(false),
            has_unexplained_broken_streams: AtomicBool::new(false),
            updates_available: Notify::new(),
            unreadable: Mutex::default(),
            claims,
            claimed: Mutex::new(Some(claimed)),
        }
    }
}

impl FatalRequestTracker {
    /// Whether anything is known of any request.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// Whether it is still open of any answer that broke off why it did.
    pub(super) fn has_unexplained_broken_streams(&self) -> bool {
        self.has_unexplained_broken_streams.load(Ordering::Relaxed)
    }

    /// What may be done with a request now.
    pub(crate) fn verdict(&self, now: MonoTime, request: RequestFingerprint) -> Disposition {
        self.requests.lock().verdict(now, request)
    }

    /// An upstream has ended while it ran a request.
    pub(crate) fn record_crash(
        &self,
        now: MonoTime,
        request: RequestFingerprint,
        start: &UpstreamIncarnation,
    ) {
        if self.change(|requests| requests.record_crash(now, request, UpstreamKey::of(start))) {
            self.note_new(now, request, start);
        }
    }

    /// An end under a request was not known before.
    fn note_new(&self, now: MonoTime, request: RequestFingerprint, start: &UpstreamIncarnation) {
        self.updates_available.notify_one();
        if matches!(self.verdict(now, request), Disposition::HeldBack { .. }) {
            log::warn!(fingerprint:% = request, instance:% = start; "request held back: it ends upstreams");
        }
    }

    /// The answer of a request broke off, and it does not show yet whether its upstream has ended.
    pub(crate) fn record_broken_stream(
        &self,
        now: MonoTime,
        request: RequestFingerprint,
        start: &UpstreamIncarnation,
    ) {
        self.change(|requests| requests.record_broken_stream(now, request, UpstreamKey::of(start)));
    }

    /// It shows that a start of an upstream has ended, which had not said that it leaves.
    pub(crate) fn record_termination(&self, now: MonoTime, start: &UpstreamIncarnation) {
        if !self.has_unexplained_broken_streams() {
            return;
        }
        let broken =
            self.change(|requests| requests.record_termination(now, UpstreamKey::of(start)));
        for request in broken {
            log::info!(fingerprint:% = request, instance:% = start; "its answer broke off as the upstream ended");
            self.note_new(now, request, start);
        }
    }

    /// A request was answered whole.
    pub(crate) fn answered(&self, now: MonoTime, request: RequestFingerprint) {
        if self.change(|requests| requests.answered(now, request)) {
            self.updates_available.notify_one();
            log::info!(fingerprint:% = request; "request cleared: it was answered whole");
        }
    }

    /// Other entries tell of ends.
    pub(crate) fn apply_peer_update(&self, now: MonoTime, news: impl Iterator<Item = CrashUpdate>) {
        let new = self.change(|requests| requests.apply_peer_update(now, news));
        if new > 0 {
            self.updates_available.notify_one();
        }
    }

    /// So many ends that another entry told of cannot be read, or are too many at once.
    pub(crate) fn left_out(&self, now: MonoTime, ends: usize) {
        if ends > 0 && self.unreadable.lock().pass(now).is_some() {
            log::warn!(ends; "ends of upstreams told by another entry were left out");
        }
    }

    /// The store says that a request is held back.
    pub(crate) fn stored(&self, now: MonoTime, stored: &StoredFatalRequest) {
        let StoredFatalRequest { request, record, row_version, is_expired } = *stored;
        self.change(|requests| {
            requests.stored(now, request, row_version, record);
            if is_expired {
                requests.answered(now, request);
            }
        });
    }

    /// Waits until there is news for other entries.
    pub(crate) fn updates_available(&self) -> Notified<'_> {
        self.updates_available.notified()
    }

    /// What other entries should know.
    pub(crate) fn peer_updates(&self, now: MonoTime) -> Vec<CrashUpdate> {
        if !self.is_used() {
            return Vec::new();
        }
        self.requests.lock().peer_updates(now).collect()
    }

    /// What an entry should know that has just started.
    pub(crate) fn startup_peer_updates(&self) -> Vec<CrashUpdate> {
        self.requests.lock().startup_peer_updates().collect()
    }

    /// Changes what is known. It is in use from the first time on that something is.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut FatalRequests) -> T) -> T {
        let mut requests = self.requests.lock();
        let result = change(&mut requests);
        self.is_used.store(!requests.is_empty(), Ordering::Relaxed);
        self.has_unexplained_broken_streams
            .store(requests.has_unexplained_broken_streams(), Ordering::Relaxed);
        result
    }

    /// One line for each request, for the state dump.
    pub(crate) fn summary(&self) -> Vec<String> {
        self.requests.lock().summary()
    }

    /// The questions whether requests may be tried again; once, for the task that answers them.
    pub(super) fn take_claims(&self) -> Option<mpsc::Receiver<Claim>> {
        self.claimed.lock().take()
    }
}

/// A request that is tried again. The try ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Arc<GatewayState>,
    request: RequestFingerprint,
}

impl Trial {
    /// Begins to try a request again, if the store agrees.
    pub(crate) async fn begin(
        state: &Arc<GatewayState>,
        request: RequestFingerprint,
    ) -> Option<Self> {
        let tracker = &state.fatal;
        let change = tracker.change(|requests| requests.begin_trial(state.now(), request))?;
        let begun = Self { state: Arc::clone(state), request };
        let (answer, answered) = oneshot::channel();
        tracker.claims.try_send(Claim { request, change, answer }).ok()?;
        answered.await.unwrap_or(false).then_some(begun)
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.fatal.change(|requests| requests.end_trial(now, self.request));
    }
}
