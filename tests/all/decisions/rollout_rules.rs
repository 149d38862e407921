//! Which version a request goes to.

use std::time::Duration;

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_gateway::control_store::RolloutOrder;
use stallhoist_gateway::control_store::StoredRollout;
use stallhoist_gateway::rollouts::RolloutDecision;
use stallhoist_gateway::rollouts::RolloutOutcome;
use stallhoist_gateway::rollouts::Rollouts;
use stallhoist_gateway::rollouts::VersionFilter;
use stallhoist_gateway::rollouts::VersionRule;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_policy::rollout::VersionCounts;

use super::at_ms;

const SHIFTING: RolloutPhase = RolloutPhase::Shifting { since_ms: 12_000 };

pub(super) fn version(name: &str) -> VersionName {
    name.parse().expect("a name")
}

fn service() -> ServiceName {
    "s".parse().expect("a name")
}

pub(super) fn order(row_version: u64) -> RolloutOrder {
    RolloutOrder {
        service: service(),
        target: version("v2"),
        duration: Duration::from_secs(20),
        row_version: StoreVersion::of(row_version),
    }
}

pub(super) fn stored(phase: RolloutPhase, row_version: u64) -> StoredRollout {
    let record =
        RolloutRecord { target: version("v2"), started_ms: 1_000, duration_ms: 20_000, phase };
    StoredRollout { service: service(), record, row_version: StoreVersion::of(row_version) }
}

/// An order at row version 10 and its record at 11, at 13 s of the store's clock.
pub(super) fn rollouts(phase: RolloutPhase) -> Rollouts {
    let mut rollouts = Rollouts::new(RolloutConfig::default());
    rollouts.set_store_clock(at_ms(0), 0);
    rollouts.apply_order(order(10));
    rollouts.stored(stored(phase, 11));
    rollouts
}

pub(super) fn rule(rollouts: &Rollouts, unit: f64, session: Option<&str>) -> VersionRule {
    let session = session.map(version);
    rollouts.rule(at_ms(13_000), &service(), unit, session.as_ref())
}

pub(super) fn new() -> VersionFilter {
    VersionFilter::Only(version("v2"))
}

pub(super) fn old() -> VersionFilter {
    VersionFilter::Except(version("v2"))
}

/// In this phase, a request with this unit and session goes to this version.
macro_rules! goes_to {
    ($name:ident, $phase:expr, $unit:expr, $session:expr, $wanted:expr) => {
        #[test]
        fn $name() {
            assert_eq!(rule(&rollouts($phase), $unit, $session).wanted, $wanted);
        }
    };
}

goes_to!(a_few_are_tried, RolloutPhase::Canary, 0.01, None, new());
goes_to!(most_are_not, RolloutPhase::Canary, 0.5, None, old());
goes_to!(a_session_stays_on_the_old, RolloutPhase::Canary, 0.01, Some("v1"), old());
goes_to!(a_session_stays_on_the_new, RolloutPhase::Canary, 0.5, Some("v2"), new());
goes_to!(a_session_moves_on_when_all_do, SHIFTING, 0.3, Some("v1"), new());
goes_to!(a_session_never_moves_back, SHIFTING, 0.99, Some("v2"), new());
goes_to!(all_at_the_end, RolloutPhase::Completed, 0.99, Some("v1"), new());
goes_to!(nobody_after_a_roll_back, RolloutPhase::RolledBack, 0.01, Some("v2"), old());

#[test]
fn a_rolled_back_version_is_not_used_even_without_another() {
    assert_eq!(rule(&rollouts(RolloutPhase::RolledBack), 0.5, None).fallback, None);
}

/// Roll-outs of which only busy upstreams of the old version were seen.
fn rollouts_beside_a_burst(phase: RolloutPhase) -> Rollouts {
    let mut rollouts = rollouts(phase);
    let pace = RequestKind { route: None, model: None, part: LatencyKind::Pause };
    for _ in 0..10 {
        let pause = Observation::Paced(Duration::from_millis(100));
        rollouts.observe(&service(), &version("v1"), &pace, 40, pause);
    }
    rollouts
}

/// In thousandths, the places of requests that may go to the control, with so many upstreams of
/// the new version and of the old one.
macro_rules! control_gets {
    ($name:ident, $new:expr, $old:expr, $places:expr) => {
        #[test]
        fn $name() {
            let rollouts = rollouts_beside_a_burst(RolloutPhase::Canary);
            let is_for_control = |unit| {
                let control = rule(&rollouts, unit, None).control.expect("one rests");
                control.is_for_control($new, $old)
            };
            let places: Vec<_> =
                (30..200).filter(|n| is_for_control(f64::from(*n) / 1_000.0 + 0.000_5)).collect();
            assert_eq!(places, $places.collect::<Vec<_>>());
        }
    };
}

// Of two upstreams of the new version each has half of its 3 in 100 requests.
control_gets!(the_control_gets_as_much_as_each_upstream_of_the_new_version, 2, 50, 30..45);
control_gets!(no_less_than_a_part_of_what_each_of_the_old_one_gets, 17, 5, 30..80);

#[test]
fn sessions_of_the_old_version_leave_the_control_alone() {
    let rollouts = rollouts_beside_a_burst(RolloutPhase::Canary);
    let control = rule(&rollouts, 0.01, Some("v1")).control.expect("one rests");
    assert!(!control.is_for_control(2, 5));
}

#[test]
fn none_rests_when_everything_moves_over() {
    assert_eq!(rule(&rollouts_beside_a_burst(SHIFTING), 0.99, None).control, None);
}

#[test]
fn none_rests_where_the_old_version_was_seen_idle() {
    assert_eq!(rule(&rollouts(RolloutPhase::Canary), 0.5, None).control, None);
}

#[test]
fn without_an_order_any_version_is_used() {
    let rollouts = Rollouts::new(RolloutConfig::default());
    assert_eq!(rule(&rollouts, 0.5, None), VersionRule::any());
}

#[test]
fn before_the_record_is_known_the_old_version_goes_first() {
    let mut rollouts = Rollouts::new(RolloutConfig::default());
    rollouts.apply_order(order(10));
    let rule = rule(&rollouts, 0.01, None);
    assert_eq!((rule.wanted, rule.fallback), (old(), Some(VersionFilter::Any)));
}

// The same version is ordered again after it was rolled back.
#[test]
fn a_record_that_is_older_than_the_order_does_not_answer_it() {
    let mut rollouts = rollouts(RolloutPhase::RolledBack);
    rollouts.apply_order(order(20));
    let due = rollouts.due(at_ms(13_000));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].expected, Some(StoreVersion::of(11)));
    assert_eq!((due[0].record.phase, due[0].record.started_ms), (RolloutPhase::Canary, 13_000));
}

#[test]
fn an_older_record_changes_nothing() {
    let mut rollouts = rollouts(RolloutPhase::RolledBack);
    rollouts.stored(stored(RolloutPhase::Canary, 10));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

// What an entry has found out itself counts at once, whether or not it can be stored.
#[test]
fn a_version_found_bad_gets_nothing_more() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    for _ in 0..30 {
        rollouts.observe(&service(), &version("v2"), &kind, 4, Observation::Failed);
    }
    assert_eq!(rule(&rollouts, 0.01, Some("v2")).wanted, old());
    let due = rollouts.due(at_ms(2_000));
    assert_eq!(due.first().map(|change| change.record.phase), Some(RolloutPhase::RolledBack));
}

#[test]
fn nothing_is_stored_before_the_stores_clock_is_known() {
    let mut rollouts = Rollouts::new(RolloutConfig::default());
    rollouts.apply_order(order(10));
    assert!(rollouts.due(at_ms(1)).is_empty());
    rollouts.set_store_clock(at_ms(1), 700);
    assert_eq!(rollouts.due(at_ms(1))[0].record.started_ms, 700);
}

fn told(answers: u64, failures: u64) -> EvidenceTotals {
    let old = VersionCounts { answers: 100, ..VersionCounts::default() };
    let new = VersionCounts { answers, failures, ..VersionCounts::default() };
    EvidenceTotals { old, new }
}

fn tell(rollouts: &mut Rollouts, entry: &str, order_version: u64, totals: EvidenceTotals) {
    let host = entry.parse().expect("a name");
    rollouts.apply_peer_evidence(host, &service(), StoreVersion::of(order_version), totals);
}

// In a large fleet no entry alone sees enough of the new version.
#[test]
fn what_others_counted_decides_too() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for n in 0..6 {
        tell(&mut rollouts, &format!("entry-{n}"), 10, told(2, 1));
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

// Totals are told again and again: what was counted before does not count twice.
#[test]
fn totals_that_are_told_again_count_once() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for _ in 0..50 {
        tell(&mut rollouts, "entry-1", 10, told(3, 1));
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
}

#[test]
fn an_entry_that_restarted_counts_anew() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for _ in 0..6 {
        tell(&mut rollouts, "entry-1", 10, told(4, 2));
        tell(&mut rollouts, "entry-1", 10, EvidenceTotals::default());
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

#[test]
fn counts_of_another_order_are_of_no_use() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    tell(&mut rollouts, "entry-1", 9, told(100, 100));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
}

#[test]
fn an_entry_tells_only_what_it_counted_itself() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    tell(&mut rollouts, "entry-1", 10, told(3, 1));
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    rollouts.observe(&service(), &version("v2"), &kind, 4, Observation::Failed);
    let own = rollouts.local_evidence();
    assert_eq!(own.len(), 1);
    let totals = own[0].2;
    assert_eq!((totals.new.answers, totals.new.failures, totals.old.answers), (1, 1, 0));
}

fn verdict(order_version: u64, outcome: RolloutOutcome) -> RolloutDecision {
    RolloutDecision { service: service(), order_version: StoreVersion::of(order_version), outcome }
}

// Three entries had found a version bad while the store was away; one that had started since
// then completed the roll-out when the store came back.
#[test]
fn a_verdict_of_another_entry_counts_at_one_that_has_seen_nothing() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Bad));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
    let due = rollouts.due(at_ms(30_000));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].record.phase, RolloutPhase::RolledBack, "and is not completed");
    assert_eq!(rollouts.decisions(), [verdict(10, RolloutOutcome::Bad)], "it is passed on");
}

#[test]
fn a_verdict_on_another_order_does_not_count() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&verdict(9, RolloutOutcome::Bad));
    rollouts.apply_peer_update(&verdict(9, RolloutOutcome::Completed));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Bad));
    rollouts.apply_order(order(12));
    assert_eq!(rollouts.decisions(), [], "a new order begins without a verdict");
}

#[test]
fn a_verdict_is_told_until_it_is_stored() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Bad));
    assert_eq!(rollouts.decisions().len(), 1);
    rollouts.stored(stored(RolloutPhase::RolledBack, 12));
    assert_eq!(rollouts.decisions(), []);
}

// An entry that did not reach the store called the version bad after others had completed the
// roll-out, and they believed it: with the old version gone all three refused every request.
#[test]
fn a_version_that_is_completed_cannot_be_found_bad() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Bad));
    assert_eq!(rule(&rollouts, 0.99, None).wanted, new());
    assert_eq!(rollouts.decisions(), [verdict(10, RolloutOutcome::Completed)]);
}

#[test]
fn an_entry_that_does_not_reach_the_store_is_told_of_the_completion() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Bad));
    rollouts.apply_peer_update(&verdict(10, RolloutOutcome::Completed));
    let rule = rule(&rollouts, 0.99, None);
    assert_eq!((rule.wanted, rule.fallback), (new(), Some(VersionFilter::Any)));
    assert!(rollouts.due(at_ms(30_000)).is_empty(), "there is nothing left to store");
}

// The next version is compared with the one that was completed, not with the one before that.
#[test]
fn a_completed_version_is_what_the_next_one_is_compared_with() {
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    let answered = |ms| Observation::Answered(Duration::from_millis(ms));
    let mut rollouts = rollouts(RolloutPhase::Canary);
    let answers = |rollouts: &mut Rollouts, name: &str, ms| {
        for _ in 0..60 {
            rollouts.observe(&service(), &version(name), &kind, 4, answered(ms));
        }
    };
    answers(&mut rollouts, "v1", 100);
    rollouts.stored(stored(RolloutPhase::Completed, 12));
    answers(&mut rollouts, "v2", 40);
    rollouts.apply_order(RolloutOrder { target: version("v3"), ..order(20) });
    let record = StoredRollout {
        record: RolloutRecord { target: version("v3"), ..stored(RolloutPhase::Canary, 21).record },
        ..stored(RolloutPhase::Canary, 21)
    };
    rollouts.stored(record);
    answers(&mut rollouts, "v3", 100);
    assert!(rollouts.decisions().iter().any(|verdict| verdict.outcome == RolloutOutcome::Bad));
}
