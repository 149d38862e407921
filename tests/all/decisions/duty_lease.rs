//! The lease of a gateway that holds the duty of usage reports.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::lease::LeaseRecord;
use stallhoist_policy::usage::DutyContext;
use stallhoist_policy::usage::DutyRecord;
use stallhoist_policy::usage::DutyStep;
use stallhoist_policy::usage::DutySummary;
use stallhoist_policy::usage::UsageCounts;
use stallhoist_policy::usage::UsageDuty;
use stallhoist_policy::usage::UsageReport;
use stallhoist_policy::usage::UsageSchedule;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageWindow;

use super::at_ms;

const LEASE: Duration = Duration::from_millis(600);
const SCHEDULE: UsageSchedule =
    UsageSchedule { window_length: Duration::from_secs(1), due_after: Duration::from_secs(8) };

/// The time of day at the start.
const START: Duration = Duration::from_secs(1_000);

fn holder(host: &str) -> Holder {
    let host: HostId = host.parse().expect("a name");
    Holder { host, incarnation: IncarnationId::generate() }
}

/// A gateway that hears from others and is the first in turn.
struct Gateway {
    duty: UsageDuty,
    counts: UsageCounts,
}

impl Gateway {
    fn start() -> Self {
        Self {
            duty: UsageDuty::new(holder("entry-0"), SCHEDULE, LEASE, START),
            counts: UsageCounts::new(UsageSource(1), MonoTime::default(), START),
        }
    }

    fn step(&mut self, now: MonoTime, unix: Duration) -> DutyStep {
        self.counts.record_contact(now);
        let counts = &self.counts;
        self.duty.step(DutyContext {
            now,
            unix,
            rank: 0,
            is_alone: false,
            is_leaving: false,
            counts,
        })
    }
}

/// The record in the store, which only one gateway writes.
struct Store {
    version: StoreVersion,
    row: Option<DutyRecord>,
}

impl Store {
    /// Plays a gateway from `from` on, all of whose calls succeed at once. Returns when it wrote the record.
    fn play(&mut self, gateway: &mut Gateway, from: Duration, length_ms: u64) -> Vec<MonoTime> {
        let mut writes = Vec::new();
        for ms in (0..length_ms).step_by(10) {
            let (now, unix) = (at_ms(ms), from + Duration::from_millis(ms));
            match gateway.step(now, unix) {
                DutyStep::Read => {
                    gateway.duty.on_read(now, unix, Some((self.version, self.row.clone())));
                }
                DutyStep::Write(write) => {
                    writes.push(now);
                    self.version.number += 1;
                    self.row = Some(write.record.clone());
                    gateway.duty.on_written(now, now, write, Ok(self.version));
                }
                DutyStep::Wait(_) | DutyStep::Send { .. } => {}
            }
        }
        writes
    }
}

// Guards against other gateways that take the duty over from one that is well, as their turns have come meanwhile.
#[test]
fn a_holder_keeps_its_lease_while_it_collects_counts() {
    let mut store = Store { version: StoreVersion::of(0), row: None };
    let writes = store.play(&mut Gateway::start(), START, 7_000);
    let apart = writes.windows(2).map(|pair| pair[1].since(pair[0]));
    let collecting: Vec<_> =
        apart.take_while(|apart| *apart < SCHEDULE.window_length * 2).collect();
    assert!(collecting.len() > 1, "{writes:?}");
    assert!(collecting.iter().all(|apart| *apart < LEASE), "{collecting:?}");
}

/// Plays a gateway whose turn has come for two windows while another one collects counts: until 900 ms, it tells that it
/// renews its lease each 300 ms, and that it has sent the first report. Returns when the gateway read the record.
fn reads_beside_a_holder(end_ms: u64) -> Vec<MonoTime> {
    let mut gateway = Gateway::start();
    let lease = LeaseRecord::next(None, holder("entry-1"), StoreEra::default());
    let first = UsageWindow::containing(START, SCHEDULE.window_length);
    let pending = vec![UsageReport { window: first, counts: BTreeMap::new() }];
    let record = DutyRecord { lease: lease.clone(), fixed_through: first, pending };
    let turn = SCHEDULE.turn_at(first.next(), 0);
    let mut reads = Vec::new();
    for ms in (0..end_ms).step_by(10) {
        let (now, unix) = (at_ms(ms), turn + Duration::from_millis(ms));
        let version = StoreVersion::of(1 + ms.min(899) / 300);
        let sent_through = if ms < 100 { first.previous() } else { first };
        let summary =
            DutySummary { version, lease: lease.clone(), fixed_through: first, sent_through };
        gateway.duty.on_summary(now, unix, &summary);
        if gateway.step(now, unix) == DutyStep::Read {
            reads.push(now);
            gateway.duty.on_read(now, unix, Some((version, Some(record.clone()))));
        }
    }
    reads
}

// Guards against reads of the record for each renewal and each report of a holder that is well.
#[test]
fn a_gateway_reads_the_record_only_when_the_lease_has_run_out() {
    assert_eq!(reads_beside_a_holder(1_500), [at_ms(600).after(LEASE)]);
}

/// Plays a gateway that reads the record in a later era of the store, in which nothing is fixed yet, while its turn has
/// come for windows of which it has all counts. Returns the windows that it fixes.
fn windows_fixed_in_a_later_era(read_at: Duration) -> Vec<UsageWindow> {
    let first = UsageWindow::containing(START, SCHEDULE.window_length);
    let lease = LeaseRecord::next(None, holder("entry-1"), StoreEra::default());
    let copy = DutyRecord { lease, fixed_through: first.previous(), pending: Vec::new() };
    let version = StoreVersion { era: StoreEra(1), number: 1 };
    let mut store = Store { version, row: Some(copy) };
    store.play(&mut Gateway::start(), read_at, 6_000);
    let pending = store.row.expect("a record").pending;
    pending.iter().map(|report| report.window).collect()
}

// Guards against two different reports of a window that was fixed and sent right before the store was restored.
#[test]
fn windows_that_ended_before_a_later_era_was_known_are_not_fixed_in_it() {
    let first = UsageWindow::containing(START, SCHEDULE.window_length);
    let read_at = SCHEDULE.turn_at(first, 0);
    let fixed = windows_fixed_in_a_later_era(read_at);
    let is_later = |window: &UsageWindow| SCHEDULE.end(*window) > read_at;
    assert!(!fixed.is_empty() && fixed.iter().all(is_later), "{fixed:?}, known at {read_at:?}");
}
