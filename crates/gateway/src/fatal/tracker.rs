//! The shared state of a gateway's tasks on requests under which upstreams crashed.

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

/// The most trials that may wait for the store at once. Further ones are rejected.
const MAX_PENDING_CLAIMS: usize = 16;

/// A request to the store task to commit a trial.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) request: RequestFingerprint,
    pub(super) change: FatalChange,
    pub(super) answer: oneshot::Sender<bool>,
}

/// The shared state of a gateway's tasks on requests under which upstreams crashed.
#[derive(Debug)]
pub(crate) struct FatalRequestTracker {
    requests: Mutex<FatalRequests>,
    /// Whether any request is tracked: if not, requests need no fingerprint.
    is_used: AtomicBool,
    has_unexplained_broken_streams: AtomicBool,
    /// Notified when there are updates to send to peers at once.
    updates_available: Notify,
    /// Limits the log lines on unreadable crash updates, which peers can cause at will.
    unreadable: Mutex<LogLimit>,
    claims: mpsc::Sender<Claim>,
    /// The receiving end, until the store task takes it.
    claimed: Mutex<Option<mpsc::Receiver<Claim>>>,
}

impl Default for FatalRequestTracker {
    fn default() -> Self {
        let (claims, claimed) = mpsc::channel(MAX_PENDING_CLAIMS);
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
    /// Whether any request is tracked.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// Whether there are broken streams whose cause is not known yet.
    pub(super) fn has_unexplained_broken_streams(&self) -> bool {
        self.has_unexplained_broken_streams.load(Ordering::Relaxed)
    }

    /// How a request may be handled now.
    pub(crate) fn disposition(&self, now: MonoTime, request: RequestFingerprint) -> Disposition {
        self.requests.lock().disposition(now, request)
    }

    /// Records the crash of an upstream while it ran a request.
    pub(crate) fn record_crash(
        &self,
        now: MonoTime,
        request: RequestFingerprint,
        incarnation: &UpstreamIncarnation,
    ) {
        if self.change(|requests| requests.record_crash(now, request, UpstreamKey::of(incarnation)))
        {
            self.publish_crash(now, request, incarnation);
        }
    }

    /// Publishes and logs a new crash.
    fn publish_crash(
        &self,
        now: MonoTime,
        request: RequestFingerprint,
        incarnation: &UpstreamIncarnation,
    ) {
        self.updates_available.notify_one();
        if matches!(self.disposition(now, request), Disposition::HeldBack { .. }) {
            log::warn!(fingerprint:% = request, instance:% = incarnation; "request held back: it ends upstreams");
        }
    }

    /// Records that a response stream broke and it is not known yet whether the upstream crashed.
    pub(crate) fn record_broken_stream(
        &self,
        now: MonoTime,
        request: RequestFingerprint,
        incarnation: &UpstreamIncarnation,
    ) {
        self.change(|requests| {
            requests.record_broken_stream(now, request, UpstreamKey::of(incarnation))
        });
    }

    /// Records that an upstream incarnation has terminated without announcing that it leaves.
    pub(crate) fn record_termination(&self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        if !self.has_unexplained_broken_streams() {
            return;
        }
        let crashed =
            self.change(|requests| requests.record_termination(now, UpstreamKey::of(incarnation)));
        for request in crashed {
            log::info!(fingerprint:% = request, instance:% = incarnation; "upstream terminated after the response of this request broke");
            self.publish_crash(now, request, incarnation);
        }
    }

    /// Records a complete response.
    pub(crate) fn answered(&self, now: MonoTime, request: RequestFingerprint) {
        if self.change(|requests| requests.answered(now, request)) {
            self.updates_available.notify_one();
            log::info!(fingerprint:% = request; "request cleared: it was answered whole");
        }
    }

    /// Merges crashes received from a peer.
    pub(crate) fn apply_peer_update(
        &self,
        now: MonoTime,
        updates: impl Iterator<Item = CrashUpdate>,
    ) {
        let new = self.change(|requests| requests.apply_peer_update(now, updates));
        if new > 0 {
            self.updates_available.notify_one();
        }
    }

    /// Logs how many crash updates of a peer were unreadable or too many at once.
    pub(crate) fn left_out(&self, now: MonoTime, ends: usize) {
        if ends > 0 && self.unreadable.lock().pass(now).is_some() {
            log::warn!(ends; "unreadable or excess crash updates from a peer were dropped");
        }
    }

    /// Applies a stored quarantine.
    pub(crate) fn stored(&self, now: MonoTime, stored: &StoredFatalRequest) {
        let StoredFatalRequest { request, record, row_version, is_expired } = *stored;
        self.change(|requests| {
            requests.stored(now, request, row_version, record);
            if is_expired {
                requests.answered(now, request);
            }
        });
    }

    /// Completes when there are updates to send to peers.
    pub(crate) fn updates_available(&self) -> Notified<'_> {
        self.updates_available.notified()
    }

    /// Crashes to send to peers.
    pub(crate) fn peer_updates(&self, now: MonoTime) -> Vec<CrashUpdate> {
        if !self.is_used() {
            return Vec::new();
        }
        self.requests.lock().peer_updates(now).collect()
    }

    /// Crashes to send to a peer that has just started.
    pub(crate) fn startup_peer_updates(&self) -> Vec<CrashUpdate> {
        self.requests.lock().startup_peer_updates().collect()
    }

    /// Changes the tracked requests and updates the flags that tell whether there are any.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut FatalRequests) -> T) -> T {
        let mut requests = self.requests.lock();
        let result = change(&mut requests);
        self.is_used.store(!requests.is_empty(), Ordering::Relaxed);
        self.has_unexplained_broken_streams
            .store(requests.has_unexplained_broken_streams(), Ordering::Relaxed);
        result
    }

    /// One line for each tracked request, for the state dump.
    pub(crate) fn summary(&self) -> Vec<String> {
        self.requests.lock().summary()
    }

    /// Takes the receiver of trial claims. Returns it once, to the store task.
    pub(super) fn take_claims(&self) -> Option<mpsc::Receiver<Claim>> {
        self.claimed.lock().take()
    }
}

/// A request on trial. The trial ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Arc<GatewayState>,
    request: RequestFingerprint,
}

impl Trial {
    /// Begins a trial, if the store accepts it.
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
