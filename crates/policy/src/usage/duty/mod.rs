//! What a gateway does next about usage reports. `results` takes in what came of it, and what peers tell.

mod results;

use std::time::Duration;

use stallhoist_core::MonoTime;

use crate::lease::Holder;
use crate::lease::LeaseRecord;
use crate::lease::LeaseTracker;
use crate::lease::Takeover;
use crate::usage::DutyContext;
use crate::usage::DutyRecord;
use crate::usage::DutyStep;
use crate::usage::DutySummary;
use crate::usage::DutyWrite;
use crate::usage::UsageCall;
use crate::usage::UsageReport;
use crate::usage::UsageSchedule;
use crate::usage::UsageWindow;

/// Delay before the first retry of a failed call; it doubles with each failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum of this delay for the holder. Others wait longer, up to four times as long by their rank: while the store is
/// away they all try, and the holder, which knows the counts, should find it back first.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_RANK: usize = 3;

/// Interval of checks whether the counts of a window are complete.
const COMPLETENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a new holder waits for the counts that others know, for windows that could have been fixed before.
const COLLECT_TIME: Duration = Duration::from_millis(1_200);

/// A new holder renews its lease when it may act for no more than this share of its duration. A lease of 2.2 s or more
/// outlasts `COLLECT_TIME` without that.
const RENEWAL_SHARE: f64 = 0.25;

/// A report is sent only if the lease is valid for at least this share of its duration.
const MIN_CALL_SHARE: f64 = 0.1;

/// A write whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct UnconfirmedWrite {
    began: MonoTime,
    record: DutyRecord,
}

/// Usage reports, as one gateway takes part in them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UsageDuty {
    local: Holder,
    schedule: UsageSchedule,
    lease_duration: Duration,
    lease: LeaseTracker,
    /// The newest known record, if it was read or written by this process.
    record: Option<DutyRecord>,
    /// The newest known state of the duty.
    summary: Option<DutySummary>,
    unconfirmed: Option<UnconfirmedWrite>,
    /// Whether the record must be read before anything else.
    needs_read: bool,
    /// The time of day at which the record was last read.
    read_at: Option<Duration>,
    /// The window in which this process began to count.
    started: UsageWindow,
    /// Windows before this one may have been reported from a record that the store has lost.
    first_of_era: UsageWindow,
    /// When this process became the holder.
    acquired_at: Option<MonoTime>,
    rank: usize,
    retry_at: MonoTime,
    failures: u32,
    /// Since when no report was delivered though some were sent.
    undelivered_since: Option<MonoTime>,
    /// Number of reports given up as overdue and not yet taken by `take_overdue`.
    overdue: u64,
}

impl UsageDuty {
    /// Creates the duty of a process that begins to count at `unix`.
    pub fn new(
        local: Holder,
        schedule: UsageSchedule,
        lease_duration: Duration,
        unix: Duration,
    ) -> Self {
        Self {
            lease: LeaseTracker::new(local.clone(), lease_duration),
            local,
            schedule,
            lease_duration,
            record: None,
            summary: None,
            unconfirmed: None,
            needs_read: false,
            read_at: None,
            started: UsageWindow::containing(unix, schedule.window_length),
            first_of_era: UsageWindow::default(),
            acquired_at: None,
            rank: 0,
            retry_at: MonoTime::default(),
            failures: 0,
            undelivered_since: None,
            overdue: 0,
        }
    }

    /// The newest known state of the duty, to be told to peers.
    pub fn summary(&self) -> Option<&DutySummary> {
        self.summary.as_ref()
    }

    /// Whether this process is the holder as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.lease.is_holder()
    }

    /// Time for which this process may still act as the holder.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.lease.time_left(now)
    }

    /// Number of reports given up as overdue since the last call.
    pub fn take_overdue(&mut self) -> u64 {
        std::mem::take(&mut self.overdue)
    }

    /// What to do next.
    pub fn step(&mut self, context: DutyContext<'_>) -> DutyStep {
        let DutyContext { now, unix, rank, .. } = context;
        self.rank = rank;
        if now < self.retry_at {
            return DutyStep::Wait(self.retry_at.since(now));
        }
        if self.needs_read {
            return DutyStep::Read;
        }
        if self.lease.is_holder() {
            self.give_up_overdue(unix);
            return self.holder_step(context);
        }
        if context.is_leaving {
            return DutyStep::Wait(self.schedule.window_length);
        }
        self.candidate_step(context)
    }

    fn holder_step(&self, context: DutyContext<'_>) -> DutyStep {
        let DutyContext { now, unix, .. } = context;
        let Some(record) = &self.record else {
            return DutyStep::Read;
        };
        if (context.is_leaving || self.is_unheard(now))
            && let Some(lease) = self.lease.released(now)
        {
            return DutyStep::Write(self.write(record.clone(), lease, unix));
        }
        let fixable = self.last_fixable(context);
        if record.fixed_through < fixable {
            return DutyStep::Write(self.fix(context, fixable));
        }
        let Some(report) = self.next_unsent(record) else {
            return self.wait_for_counts(context, record);
        };
        let time_left = self.lease.time_left(now);
        if time_left < self.lease_duration.mul_f64(MIN_CALL_SHARE) {
            return DutyStep::Write(self.write(record.clone(), self.lease.acquired(), unix));
        }
        let host = self.local.host.clone();
        let call = UsageCall { host, epoch: record.lease.epoch, report: report.clone() };
        DutyStep::Send { call, within: time_left }
    }

    /// Waits until the counts of another window may be complete. A new holder renews its lease meanwhile: it took over
    /// because a window was late, so the turns of others come while it collects.
    fn wait_for_counts(&self, context: DutyContext<'_>, record: &DutyRecord) -> DutyStep {
        let DutyContext { now, unix, .. } = context;
        let end = self.schedule.end(record.fixed_through.next());
        let wait = end.saturating_sub(unix).max(COMPLETENESS_CHECK_INTERVAL);
        if !self.is_collecting(now) {
            return DutyStep::Wait(wait);
        }
        let until_renewal =
            self.lease.time_left(now).saturating_sub(self.lease_duration.mul_f64(RENEWAL_SHARE));
        if until_renewal.is_zero() {
            return DutyStep::Write(self.write(record.clone(), self.lease.acquired(), unix));
        }
        DutyStep::Wait(wait.min(until_renewal))
    }

    /// Whether this process has become the holder so lately that others may still tell it counts.
    fn is_collecting(&self, now: MonoTime) -> bool {
        self.acquired_at.is_some_and(|at| now.since(at) < COLLECT_TIME)
    }

    /// The last window that the holder can fix: one whose counts are complete, or that can wait no longer.
    fn last_fixable(&self, context: DutyContext<'_>) -> UsageWindow {
        let DutyContext { now, unix, .. } = context;
        let complete = context.complete_through().map(|through| self.schedule.last_ended(through));
        let late = (!self.is_collecting(now)).then(|| self.schedule.last_fixable(unix));
        complete.max(late).unwrap_or_default()
    }

    /// Whether the platform has responded to none of this holder's calls for the lease's whole duration, so that
    /// another gateway, which may reach it, should try.
    fn is_unheard(&self, now: MonoTime) -> bool {
        self.undelivered_since.is_some_and(|since| now.since(since) >= self.lease_duration)
    }

    fn candidate_step(&mut self, context: DutyContext<'_>) -> DutyStep {
        let DutyContext { now, unix, rank, .. } = context;
        let undone = self.first_undone(context);
        let turn_at = if context.is_connected() {
            self.schedule.turn_at(undone, rank)
        } else {
            self.schedule.unconnected_turn_at(undone)
        };
        if unix < turn_at {
            return DutyStep::Wait(turn_at.saturating_sub(unix));
        }
        let is_read = self.read_at.is_some_and(|read_at| read_at >= turn_at) && self.knows_row();
        // While the lease runs by what peers tell, the row itself is not needed.
        match self.lease.takeover(now) {
            Some(Takeover::At(at)) => DutyStep::Wait(at.since(now)),
            Some(Takeover::Now) if is_read => DutyStep::Write(self.acquire(unix)),
            Some(Takeover::Now) | None => DutyStep::Read,
        }
    }

    /// The first window that is not known to be fixed and sent, and whose report may still be of use. Without a
    /// connection to others, what is fixed counts as sent.
    fn first_undone(&self, context: DutyContext<'_>) -> UsageWindow {
        let done = match &self.summary {
            Some(summary) if context.is_connected() => summary.sent_through,
            Some(summary) => summary.fixed_through,
            None => self.started.previous(),
        };
        done.next().max(self.schedule.first_in_time(context.unix))
    }

    /// Whether the newest known state of the row is known whole.
    fn knows_row(&self) -> bool {
        self.lease.version().is_some() && self.lease.record().is_some() == self.record.is_some()
    }

    /// The write with which this process becomes the holder. It fixes nothing: the holder first collects what others
    /// have counted.
    fn acquire(&self, unix: Duration) -> DutyWrite {
        let lease = self.lease.acquired();
        let record = self.record.clone().unwrap_or_else(|| DutyRecord {
            lease: lease.clone(),
            fixed_through: self.started.previous(),
            pending: Vec::new(),
        });
        self.write(record, lease, unix)
    }

    /// The write that fixes all windows up to `fixable`.
    fn fix(&self, context: DutyContext<'_>, fixable: UsageWindow) -> DutyWrite {
        let DutyContext { unix, counts, .. } = context;
        let known = self.record.as_ref();
        let fixed_through = known.map_or(self.started.previous(), |record| record.fixed_through);
        let first =
            fixed_through.next().max(self.first_of_era).max(self.schedule.first_in_time(unix));
        let mut left_out = first.0 - fixed_through.next().0;
        let mut pending = known.map_or_else(Vec::new, |record| record.pending.clone());
        for window in first.through(fixable) {
            if window < self.started && !counts.has(window) {
                left_out += 1;
                continue;
            }
            pending.push(UsageReport { window, counts: counts.total(window) });
        }
        let lease = self.lease.acquired();
        let fixed_through = fixable.max(fixed_through);
        let record = DutyRecord { lease: lease.clone(), fixed_through, pending };
        DutyWrite { left_out, ..self.write(record, lease, unix) }
    }

    /// A write of the record with this lease, without the reports that are done.
    fn write(&self, record: DutyRecord, lease: LeaseRecord, unix: Duration) -> DutyWrite {
        let sent_through = self.summary.as_ref().map(|summary| summary.sent_through);
        let first_in_time = self.schedule.first_in_time(unix);
        let mut pending = record.pending;
        pending.retain(|report| {
            report.window >= first_in_time && sent_through.is_none_or(|sent| report.window > sent)
        });
        let expected = self.lease.record().and(self.lease.version());
        let record = DutyRecord { lease, pending, ..record };
        DutyWrite { expected, record, left_out: 0 }
    }

    fn next_unsent<'a>(&self, record: &'a DutyRecord) -> Option<&'a UsageReport> {
        let sent_through = self.summary.as_ref().map(|summary| summary.sent_through);
        let is_unsent = |report: &&UsageReport| sent_through.is_none_or(|s| report.window > s);
        record.pending.iter().find(is_unsent)
    }

    /// Gives up fixed reports that are overdue.
    fn give_up_overdue(&mut self, unix: Duration) {
        let first_in_time = self.schedule.first_in_time(unix);
        while let Some(record) = &self.record
            && let Some(report) = self.next_unsent(record)
            && report.window < first_in_time
        {
            let window = report.window;
            self.overdue += 1;
            self.sent(window);
        }
    }
}
