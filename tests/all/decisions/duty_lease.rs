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

/// Plays a gateway that hears from others, but lacks their counts, until `end_ms`. Returns when its writes of the
/// record succeeded.
fn write_times(end_ms: u64) -> Vec<MonoTime> {
    let mut duty = UsageDuty::new(holder("entry-0"), SCHEDULE, LEASE, START);
    let mut counts = UsageCounts::new(UsageSource(1), MonoTime::default(), START);
    let mut writes = Vec::new();
    let mut row = None;
    for ms in (0..end_ms).step_by(10) {
        let (now, unix) = (at_ms(ms), START + Duration::from_millis(ms));
        counts.record_contact(now);
        let context =
            DutyContext { now, unix, rank: 0, is_alone: false, is_leaving: false, counts: &counts };
        match duty.step(context) {
            DutyStep::Read => {
                duty.on_read(now, unix, Some((StoreVersion::of(writes.len() as u64), row.clone())));
            }
            DutyStep::Write(write) => {
                writes.push(now);
                row = Some(write.record.clone());
                duty.on_written(now, now, write, Ok(StoreVersion::of(writes.len() as u64)));
            }
            DutyStep::Wait(_) | DutyStep::Send { .. } => {}
        }
    }
    writes
}

// Guards against other gateways that take the duty over from one that is well, as their turns have come meanwhile.
#[test]
fn a_holder_keeps_its_lease_while_it_collects_counts() {
    let writes = write_times(7_000);
    let apart = writes.windows(2).map(|pair| pair[1].since(pair[0]));
    let collecting: Vec<_> =
        apart.take_while(|apart| *apart < SCHEDULE.window_length * 2).collect();
    assert!(collecting.len() > 1, "{writes:?}");
    assert!(collecting.iter().all(|apart| *apart < LEASE), "{collecting:?}");
}

/// Plays a gateway whose turn has come for two windows while another one collects counts: until 900 ms, it tells that it
/// renews its lease each 300 ms, and that it has sent the first report. Returns when the gateway read the record.
fn reads_beside_a_holder(end_ms: u64) -> Vec<MonoTime> {
    let mut duty = UsageDuty::new(holder("entry-0"), SCHEDULE, LEASE, START);
    let mut counts = UsageCounts::new(UsageSource(1), MonoTime::default(), START);
    let lease = LeaseRecord::next(None, holder("entry-1"), StoreEra::default());
    let first = UsageWindow::containing(START, SCHEDULE.window_length);
    let pending = vec![UsageReport { window: first, counts: BTreeMap::new() }];
    let record = DutyRecord { lease: lease.clone(), fixed_through: first, pending };
    let turn = SCHEDULE.turn_at(first.next(), 0);
    let mut reads = Vec::new();
    for ms in (0..end_ms).step_by(10) {
        let (now, unix) = (at_ms(ms), turn + Duration::from_millis(ms));
        counts.record_contact(now);
        let version = StoreVersion::of(1 + ms.min(899) / 300);
        let sent_through = if ms < 100 { first.previous() } else { first };
        let summary =
            DutySummary { version, lease: lease.clone(), fixed_through: first, sent_through };
        duty.on_summary(now, unix, &summary);
        let context =
            DutyContext { now, unix, rank: 0, is_alone: false, is_leaving: false, counts: &counts };
        if duty.step(context) == DutyStep::Read {
            reads.push(now);
            duty.on_read(now, unix, Some((version, Some(record.clone()))));
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
    let mut duty = UsageDuty::new(holder("entry-0"), SCHEDULE, LEASE, START);
    let mut counts = UsageCounts::new(UsageSource(1), MonoTime::default(), START);
    let era = StoreEra(1);
    let first = UsageWindow::containing(START, SCHEDULE.window_length);
    let lease = LeaseRecord::next(None, holder("entry-1"), StoreEra::default());
    let mut row = DutyRecord { lease, fixed_through: first.previous(), pending: Vec::new() };
    let mut number = 1;
    for ms in (0..6_000).step_by(10) {
        let (now, unix) = (at_ms(ms), read_at + Duration::from_millis(ms));
        counts.record_contact(now);
        let context =
            DutyContext { now, unix, rank: 0, is_alone: false, is_leaving: false, counts: &counts };
        match duty.step(context) {
            DutyStep::Read => {
                duty.on_read(now, unix, Some((StoreVersion { era, number }, Some(row.clone()))));
            }
            DutyStep::Write(write) => {
                number += 1;
                row = write.record.clone();
                duty.on_written(now, now, write, Ok(StoreVersion { era, number }));
            }
            DutyStep::Wait(_) | DutyStep::Send { .. } => {}
        }
    }
    row.pending.iter().map(|report| report.window).collect()
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
