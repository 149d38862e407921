//! The state of the duties at this gateway.

use std::time::Duration;
use std::time::SystemTime;

use parking_lot::Mutex;
use stallhoist_core::FencingToken;
use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::fleet_clock::FleetClock;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::usage::DutyContext;
use stallhoist_policy::usage::DutyStep;
use stallhoist_policy::usage::DutySummary;
use stallhoist_policy::usage::UsageCounts;
use stallhoist_policy::usage::UsageDuty;
use stallhoist_policy::usage::UsageSchedule;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageUpdate;
use stallhoist_policy::usage::UsageWindow;
use stallhoist_settings::DutySettings;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug)]
struct DutyState {
    duty: UsageDuty,
    counts: UsageCounts,
    clock: FleetClock,
    /// The newest lease that was seen, and since when.
    holder: Option<(HostId, FencingToken, MonoTime)>,
}

impl DutyState {
    fn unix(&mut self, now: MonoTime) -> Duration {
        self.clock.unix(now, local_unix())
    }

    /// Logs a change of the holder.
    fn check_holder(&mut self, now: MonoTime) {
        let Some(summary) = self.duty.summary() else {
            return;
        };
        let (host, epoch) = (&summary.lease.holder.host, summary.lease.epoch);
        if self.holder.as_ref().is_some_and(|(_, known, _)| *known == epoch) {
            return;
        }
        let before = self.holder.as_ref().map_or("", |(host, _, _)| host.as_str());
        log::info!(
            holder:% = host,
            epoch:% = epoch,
            before,
            is_local = self.duty.is_holder(),
            fixed_through:% = summary.fixed_through,
            sent_through:% = summary.sent_through;
            "the holder of the usage reports has changed"
        );
        self.holder = Some((host.clone(), epoch, now));
    }
}

/// The place of this gateway among all.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standing {
    /// The position in the order in which the gateways take a duty over.
    pub(super) rank: usize,
    /// Whether no other gateway is listed.
    pub(super) is_alone: bool,
    pub(super) is_leaving: bool,
}

/// What the state dump shows of the duties.
#[derive(Debug)]
pub(crate) struct DutyStatus {
    pub(crate) holder: HostId,
    pub(crate) epoch: FencingToken,
    /// How long this gateway has known of this holder.
    pub(crate) known_for: Duration,
    pub(crate) is_local: bool,
    pub(crate) is_released: bool,
    pub(crate) fixed_through: UsageWindow,
    pub(crate) sent_through: UsageWindow,
}

/// The duties at this gateway.
#[derive(Debug)]
pub(crate) struct Duties {
    schedule: UsageSchedule,
    state: Mutex<DutyState>,
    changed: Notify,
}

impl Duties {
    pub(crate) fn new(settings: &DutySettings, host: HostId, now: MonoTime) -> Self {
        let schedule = UsageSchedule {
            window_length: settings.usage_window.as_duration(),
            due_after: settings.usage_due_after.as_duration(),
        };
        let incarnation = IncarnationId::generate();
        let source = UsageSource(xxh3_64(incarnation.as_bytes()));
        let holder = Holder { host, incarnation };
        let mut clock = FleetClock::default();
        let unix = clock.unix(now, local_unix());
        let lease = settings.lease.as_duration();
        let state = DutyState {
            duty: UsageDuty::new(holder, schedule, lease, unix),
            counts: UsageCounts::new(source, now, unix),
            clock,
            holder: None,
        };
        Self { schedule, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Counts a request that an upstream began to run at `began`.
    pub(crate) fn record_run(&self, began: MonoTime, workspace: &WorkspaceName) {
        let mut state = self.state.lock();
        let unix = state.clock.unix_at(began);
        let window = UsageWindow::containing(unix, self.schedule.window_length);
        state.counts.record(window, workspace);
    }

    /// What to do next.
    pub(super) fn step(&self, now: MonoTime, standing: Standing) -> DutyStep {
        let mut state = self.state.lock();
        let unix = state.unix(now);
        state.counts.expire(self.schedule.first_in_time(unix));
        let DutyState { duty, counts, .. } = &mut *state;
        let Standing { rank, is_alone, is_leaving } = standing;
        let context = DutyContext { now, unix, rank, is_alone, is_leaving, counts };
        let step = duty.step(context);
        let overdue = duty.take_overdue();
        if overdue > 0 {
            log::warn!(reports = overdue; "usage reports given up: overdue and not delivered");
        }
        step
    }

    /// Records the result of a step.
    pub(super) fn update(&self, now: MonoTime, update: impl FnOnce(&mut UsageDuty, Duration)) {
        let mut state = self.state.lock();
        let unix = state.unix(now);
        update(&mut state.duty, unix);
        state.check_holder(now);
    }

    /// Time for which this gateway may still act as the holder.
    pub(super) fn time_left(&self, now: MonoTime) -> Duration {
        self.state.lock().duty.time_left(now)
    }

    /// Waits until something becomes known that may change the next step.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Wakes the task, as the gateway begins to stop.
    pub(crate) fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// The time of day of this host, which is told to peers.
    pub(crate) fn local_unix() -> Duration {
        local_unix()
    }

    /// The agreed time of day.
    pub(crate) fn unix(&self, now: MonoTime) -> Duration {
        self.state.lock().unix(now)
    }

    /// Records a peer's time of day.
    pub(crate) fn record_peer_time(&self, now: MonoTime, host: HostId, unix: Duration) {
        self.state.lock().clock.record_peer(now, host, unix);
    }

    /// Goes by the time of day that a relay has answered with.
    pub(crate) fn adopt_time(&self, now: MonoTime, unix: Duration) {
        self.state.lock().clock.adopt(now, unix);
    }

    /// Whether this gateway holds the lease as far as it knows.
    pub(crate) fn is_holder(&self) -> bool {
        self.state.lock().duty.is_holder()
    }

    /// The time up to which the counts of this gateway, and of those that report to it, are complete, regardless of
    /// the hosts `excluded`.
    pub(crate) fn complete_through(&self, now: MonoTime, excluded: &[HostId]) -> Duration {
        let mut state = self.state.lock();
        let unix = state.unix(now);
        state.counts.complete_through(now, unix, excluded)
    }

    /// Records that a peer was heard.
    pub(crate) fn record_contact(&self, now: MonoTime) {
        self.state.lock().counts.record_contact(now);
    }

    /// Records the time up to which the counts of a peer, and of those that report to it, are merged.
    pub(crate) fn record_mark(&self, now: MonoTime, host: HostId, complete_through: Duration) {
        self.state.lock().counts.record_mark(now, host, complete_through);
    }

    /// The counts that have changed after a revision, and the present revision.
    pub(crate) fn changes(&self, after: u64, excluded: &[HostId]) -> (Vec<UsageUpdate>, u64) {
        self.state.lock().counts.changes(after, excluded)
    }

    /// Merges the counts that a peer sent.
    pub(crate) fn merge(&self, sender: &HostId, updates: impl Iterator<Item = UsageUpdate>) {
        let mut state = self.state.lock();
        updates.for_each(|update| state.counts.merge(sender, update));
    }

    /// The newest known state of the duty.
    pub(crate) fn summary(&self) -> Option<DutySummary> {
        self.state.lock().duty.summary().cloned()
    }

    /// Applies what a peer has told of the duty.
    pub(crate) fn apply_summary(&self, now: MonoTime, told: &DutySummary) {
        let mut state = self.state.lock();
        let unix = state.unix(now);
        if state.duty.on_summary(now, unix, told) {
            state.check_holder(now);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// What the state dump shows; none before anything is known.
    pub(crate) fn status(&self, now: MonoTime) -> Option<DutyStatus> {
        let state = self.state.lock();
        let summary = state.duty.summary()?;
        let (holder, epoch, since) = state.holder.clone()?;
        Some(DutyStatus {
            holder,
            epoch,
            known_for: now.since(since),
            is_local: state.duty.is_holder(),
            is_released: summary.lease.is_released,
            fixed_through: summary.fixed_through,
            sent_through: summary.sent_through,
        })
    }
}

/// The time of day of this host, as a duration since the Unix epoch.
fn local_unix() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
