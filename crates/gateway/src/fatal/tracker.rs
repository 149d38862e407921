//! The shared state of a gateway's tasks on what upstreams crashed under: requests, and parts of prompts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::Exposure;
use stallhoist_policy::fatal::FatalChange;
use stallhoist_policy::fatal::FatalConfig;
use stallhoist_policy::fatal::FatalSubjects;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control_store::StoredFatalSubject;
use crate::log_limit::LogLimit;
use crate::state::GatewayState;

/// The most trials that may wait for the store at once. Further ones are rejected.
const MAX_PENDING_CLAIMS: usize = 16;

/// A request to the store task to commit a trial.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) subject: CrashSubject,
    pub(super) change: FatalChange,
    pub(super) answer: oneshot::Sender<bool>,
}

/// The shared state of a gateway's tasks on what upstreams crashed under: requests, and parts of prompts.
#[derive(Debug)]
pub(crate) struct FatalSubjectTracker {
    subjects: Mutex<FatalSubjects>,
    /// Whether any subject is tracked: if not, requests need no fingerprint.
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

impl Default for FatalSubjectTracker {
    fn default() -> Self {
        let (claims, claimed) = mpsc::channel(MAX_PENDING_CLAIMS);
        Self {
            subjects: Mutex::new(FatalSubjects::new(FatalConfig::default())),
            is_used: AtomicBool::new(false),
            has_unexplained_broken_streams: AtomicBool::new(false),
            updates_available: Notify::new(),
            unreadable: Mutex::default(),
            claims,
            claimed: Mutex::new(Some(claimed)),
        }
    }
}

impl FatalSubjectTracker {
    /// Whether any subject is tracked.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// Whether there are broken streams whose cause is not known yet.
    pub(super) fn has_unexplained_broken_streams(&self) -> bool {
        self.has_unexplained_broken_streams.load(Ordering::Relaxed)
    }

    /// How requests with these subjects may be handled now.
    pub(crate) fn dispositions(
        &self,
        now: MonoTime,
        subjects: impl Iterator<Item = CrashSubject>,
    ) -> Vec<(CrashSubject, Disposition)> {
        let tracked = self.subjects.lock();
        subjects.map(|subject| (subject, tracked.disposition(now, subject))).collect()
    }

    /// Records the crash of an upstream while it ran a request.
    pub(crate) fn record_crash(
        &self,
        now: MonoTime,
        exposure: &Exposure,
        incarnation: &UpstreamIncarnation,
    ) {
        let upstream = UpstreamKey::of(incarnation);
        let new = self.change(|subjects| subjects.record_crash(now, exposure, upstream));
        if !new.is_empty() {
            self.updates_available.notify_one();
        }
    }

    /// Records that a response stream broke and it is not known yet whether the upstream crashed.
    pub(crate) fn record_broken_stream(
        &self,
        now: MonoTime,
        exposure: Exposure,
        incarnation: &UpstreamIncarnation,
    ) {
        let upstream = UpstreamKey::of(incarnation);
        self.change(|subjects| subjects.record_broken_stream(now, exposure, upstream));
    }

    /// Records that an upstream incarnation has terminated without announcing that it leaves.
    pub(crate) fn record_termination(&self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        if !self.has_unexplained_broken_streams() {
            return;
        }
        let upstream = UpstreamKey::of(incarnation);
        let crashed = self.change(|subjects| subjects.record_termination(now, upstream));
        for subject in &crashed {
            log::info!(fingerprint:% = subject, instance:% = incarnation; "upstream terminated after the response of this request broke");
        }
        if !crashed.is_empty() {
            self.updates_available.notify_one();
        }
    }

    /// Records a complete response to a request.
    pub(crate) fn answered(&self, now: MonoTime, request: CrashSubject) {
        if self.change(|subjects| subjects.answered(now, request)) {
            self.updates_available.notify_one();
            log::info!(fingerprint:% = request; "request cleared: it was answered whole");
        }
    }

    /// Records that a response to a request with these parts in its prompt is complete, or has been written for a
    /// while.
    pub(crate) fn survived(&self, now: MonoTime, parts: &[PartFingerprint]) {
        if parts.is_empty() {
            return;
        }
        let cleared = self.change(|subjects| subjects.survived(now, parts));
        for part in &cleared {
            log::info!(fingerprint:% = part; "part cleared: a response to a request with it went well");
        }
        if !cleared.is_empty() {
            self.updates_available.notify_one();
        }
    }

    /// Merges crashes received from a peer.
    pub(crate) fn apply_peer_update(
        &self,
        now: MonoTime,
        updates: impl Iterator<Item = CrashUpdate>,
    ) {
        let new = self.change(|subjects| subjects.apply_peer_update(now, updates));
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
    pub(crate) fn stored(&self, now: MonoTime, stored: &StoredFatalSubject) {
        let StoredFatalSubject { subject, record, row_version, is_expired } = *stored;
        self.change(|subjects| {
            subjects.stored(now, subject, row_version, record);
            if is_expired {
                subjects.answered(now, subject);
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
        self.subjects.lock().peer_updates(now)
    }

    /// Crashes to send to a peer that has just started.
    pub(crate) fn startup_peer_updates(&self) -> Vec<CrashUpdate> {
        self.subjects.lock().startup_peer_updates().collect()
    }

    /// Changes the tracked subjects, updates the flags that tell whether there are any, and logs those that are
    /// quarantined by this.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut FatalSubjects) -> T) -> T {
        let (result, quarantined) = {
            let mut subjects = self.subjects.lock();
            let result = change(&mut subjects);
            self.is_used.store(!subjects.is_empty(), Ordering::Relaxed);
            self.has_unexplained_broken_streams
                .store(subjects.has_unexplained_broken_streams(), Ordering::Relaxed);
            (result, subjects.take_quarantined())
        };
        for subject in quarantined {
            match subject {
                CrashSubject::Request(request) => {
                    log::warn!(fingerprint:% = request; "request held back: it ends upstreams");
                }
                CrashSubject::Part(PartFingerprint { part, .. }) => {
                    log::warn!(fingerprint:% = subject, part = format!("{part:x}"); "requests with a part held back: they end upstreams");
                }
            }
        }
        result
    }

    /// One line for each tracked subject, for the state dump.
    pub(crate) fn summary(&self) -> Vec<String> {
        self.subjects.lock().summary()
    }

    /// Takes the receiver of trial claims. Returns it once, to the store task.
    pub(super) fn take_claims(&self) -> Option<mpsc::Receiver<Claim>> {
        self.claimed.lock().take()
    }
}

/// A trial of a quarantined subject. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Arc<GatewayState>,
    subject: CrashSubject,
}

impl Trial {
    /// Begins a trial, if the store accepts it.
    pub(crate) async fn begin(state: &Arc<GatewayState>, subject: CrashSubject) -> Option<Self> {
        let tracker = &state.fatal;
        let change = tracker.change(|subjects| subjects.begin_trial(state.now(), subject))?;
        let begun = Self { state: Arc::clone(state), subject };
        let (answer, answered) = oneshot::channel();
        tracker.claims.try_send(Claim { subject, change, answer }).ok()?;
        answered.await.unwrap_or(false).then_some(begun)
    }

    pub(crate) fn subject(&self) -> CrashSubject {
        self.subject
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.fatal.change(|subjects| subjects.end_trial(now, self.subject));
    }
}
