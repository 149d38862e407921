//! Refreshes state after the host was suspended.
//!
//! Timers do not notice a suspension: a pending call goes on waiting, and its response may be as
//! old as the suspension. Pending calls are therefore repeated, and callers wait, as at startup,
//! until the required feeds have been received again.

use std::future::Future;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::SuspensionDetector;
use stallhoist_core::MonoTime;
use tokio::sync::Notify;

use crate::control_store::ControlStoreError;
use crate::control_store::Feed;

/// How long a gateway waits for the required feeds. Then it serves with the known state, as any
/// gateway does while neither the store nor a peer responds.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// The feeds that must be received again before requests are served.
const REQUIRED_FEEDS: [Feed; 2] = [Feed::Operators, Feed::Members];

/// The feeds not received since the host was suspended, and the deadline for them.
#[derive(Debug, Default)]
pub struct ResyncState {
    missing: Vec<Feed>,
    until: MonoTime,
}

impl ResyncState {
    /// Starts waiting for the required feeds after a resume at `woken`.
    pub fn since(woken: MonoTime) -> Self {
        Self { missing: REQUIRED_FEEDS.to_vec(), until: woken.after(RESYNC_TIMEOUT) }
    }

    /// Records that a feed was received by a call made since.
    pub fn mark_received(&mut self, feed: Feed) {
        self.missing.retain(|missing| *missing != feed);
    }

    /// Whether requests must wait.
    pub fn is_pending(&self, now: MonoTime) -> bool {
        !self.missing.is_empty() && now < self.until
    }
}

#[derive(Debug, Default)]
struct RecoveryState {
    watch: SuspensionDetector,
    resync: ResyncState,
    suspensions: u64,
}

/// Detects suspensions of the host and repeats what they may have affected.
#[derive(Debug)]
pub(crate) struct SuspendRecovery {
    clock: ProcessClock,
    shared: Mutex<RecoveryState>,
    woken: Notify,
}

impl SuspendRecovery {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self { clock, shared: Mutex::default(), woken: Notify::new() }
    }

    /// Checks whether the host was suspended. Returns the number of suspensions so far.
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
            "this host was suspended; repeating pending calls while callers wait"
        );
        self.woken.notify_waiters();
        suspensions
    }

    /// Records that a feed was received.
    pub(crate) fn mark_received(&self, feed: Feed) {
        self.shared.lock().resync.mark_received(feed);
    }

    /// Whether requests must wait for the required feeds.
    pub(crate) fn is_resyncing(&self) -> bool {
        self.check_suspension();
        self.shared.lock().resync.is_pending(self.clock.now())
    }

    /// Waits until the host resumes after a suspension.
    pub(crate) async fn woken(&self) {
        self.woken.notified().await;
    }

    /// Runs a call, failing it if the host is suspended meanwhile, as its response may be as old as
    /// that.
    pub(crate) async fn uninterrupted<T>(
        &self,
        call: impl Future<Output = Result<T, ControlStoreError>>,
    ) -> Result<T, ControlStoreError> {
        let before = self.check_suspension();
        let result = tokio::select! {
            result = call => Some(result),
            () = self.woken() => None,
        };
        match result {
            Some(result) if self.check_suspension() == before => result,
            _ => Err(ControlStoreError::Suspended),
        }
    }
}
