//! What an entry does after its host was suspended.
//!
//! Timers do not notice a suspension: a question that waits for news goes on waiting, and what comes
//! in answer to it may have lain there all the time. So questions that were under way are asked anew,
//! and callers wait, as at a start, until the entry has heard again what it decides with.

use std::future::Future;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::SuspensionDetector;
use stallhoist_core::MonoTime;
use tokio::sync::Notify;

use crate::control_store::ControlStoreError;
use crate::control_store::Feed;

/// How long an entry waits to hear again. Then it serves with what it knows, as any entry does while
/// the store is away and no other one answers.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// What an entry must have heard again before it decides about requests.
const REQUIRED_FEEDS: [Feed; 2] = [Feed::Operators, Feed::Members];

/// What has not been heard again since the host was suspended, and until when that matters.
#[derive(Debug, Default)]
pub struct ResyncState {
    missing: Vec<Feed>,
    until: MonoTime,
}

impl ResyncState {
    /// The host has been awake since this moment.
    pub fn since(woken: MonoTime) -> Self {
        Self { missing: REQUIRED_FEEDS.to_vec(), until: woken.after(RESYNC_TIMEOUT) }
    }

    /// News of a feed came, that were asked for since.
    pub fn mark_received(&mut self, feed: Feed) {
        self.missing.retain(|missing| *missing != feed);
    }

    /// Whether requests have to wait.
    pub fn is_pending(&self, now: MonoTime) -> bool {
        !self.missing.is_empty() && now < self.until
    }
}

#[derive(Debug, Default)]
struct Shared {
    watch: SuspensionDetector,
    resync: ResyncState,
    suspensions: u64,
}

/// What an entry does after its host was suspended.
#[derive(Debug)]
pub(crate) struct SuspendRecovery {
    clock: ProcessClock,
    shared: Mutex<Shared>,
    woken: Notify,
}

impl SuspendRecovery {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self { clock, shared: Mutex::default(), woken: Notify::new() }
    }

    /// Looks whether the host was suspended. Gives how often it was.
    pub(crate) fn check_suspension(&self) -> u64 {
        let mut shared = self.shared.lock();
        let Some(gap) = shared.watch.observe(self.clock.suspended()) else {
            return shared.suspensions;
        };
        shared.suspensions += 1;
        shared.resync = ResyncState::since(self.clock.now());
        let suspensions = shared.suspensions;
        drop(shared);
        log::warn!(
            gap_ms = gap.as_millis() as u64;
            "this host was suspended: questions under way are asked anew, callers wait for the answers"
        );
        self.woken.notify_waiters();
        suspensions
    }

    /// News of a feed came.
    pub(crate) fn mark_received(&self, feed: Feed) {
        self.shared.lock().resync.mark_received(feed);
    }

    /// Whether requests have to wait until news are here.
    pub(crate) fn is_resyncing(&self) -> bool {
        self.check_suspension();
        self.shared.lock().resync.is_pending(self.clock.now())
    }

    /// Waits until the host wakes up after a suspension.
    pub(crate) async fn woken(&self) {
        self.woken.notified().await;
    }

    /// Asks for news, unless the host is suspended meanwhile: the answer may be as old as that then.
    pub(crate) async fn uninterrupted<T>(
        &self,
        question: impl Future<Output = Result<T, ControlStoreError>>,
    ) -> Result<T, ControlStoreError> {
        let before = self.check_suspension();
        let answer = tokio::select! {
            answer = question => Some(answer),
            () = self.woken() => None,
        };
        match answer {
            Some(answer) if self.check_suspension() == before => answer,
            _ => Err(ControlStoreError::Suspended),
        }
    }
}
