//! The version that a request goes to.

use std::time::Duration;

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_gateway::control_store::RolloutOrder;
use stallhoist_gateway::control_store::StoredRollout;
use stallhoist_gateway::rollouts::EvidenceReport;
use stallhoist_gateway::rollouts::ProcessRun;
use stallhoist_gateway::rollouts::ReportPath;
use stallhoist_gateway::rollouts::ReportPosition;
use stallhoist_gateway::rollouts::RolloutDecision;
use stallhoist_gateway::rollouts::RolloutOutcome;
use stallhoist_gateway::rollouts::Rollouts;
use stallhoist_gateway::rollouts::VersionFilter;
use stallhoist_gateway::rollouts::VersionRule;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::Permille;
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
    let record = RolloutRecord {
        target: version("v2"),
        started_ms: 1_000,
        duration_ms: 20_000,
        phase,
        canary_share: None,
    };
    StoredRollout { service: service(), record, row_version: StoreVersion::of(row_version) }
}

/// An order at row version 10 and its record at 11, at 13 s of the store's clock.
pub(super) fn rollouts(phase: RolloutPhase) -> Rollouts {
    let mut rollouts = ordered(RolloutConfig::default());
    rollouts.stored(stored(phase, 11));
    rollouts
}

/// An order at row version 10, without a record.
fn ordered(config: RolloutConfig) -> Rollouts {
    let mut rollouts = Rollouts::new(config);
    rollouts.set_store_clock(at_ms(0), 0);
    rollouts.apply_order(order(10));
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

/// Checks the version that a request with this unit and session goes to, in a phase.
macro_rules! goes_to {
    ($name:ident, $phase:expr, $unit:expr, $session:expr, $wanted:expr) => {
        #[test]
        fn $name() {
            assert_eq!(rule(&rollouts($phase), $unit, $session).wanted, $wanted);
        }
    };
}

goes_to!(a_few_go_to_the_new, RolloutPhase::Canary, 0.01, None, new());
goes_to!(most_go_to_the_old, RolloutPhase::Canary, 0.5, None, old());
goes_to!(a_session_stays_on_the_old, RolloutPhase::Canary, 0.01, Some("v1"), old());
goes_to!(a_session_stays_on_the_new, RolloutPhase::Canary, 0.5, Some("v2"), new());
goes_to!(a_session_moves_on_when_all_do, SHIFTING, 0.3, Some("v1"), new());
goes_to!(a_session_never_moves_back, SHIFTING, 0.99, Some("v2"), new());
goes_to!(all_at_the_end, RolloutPhase::Completed, 0.99, Some("v1"), new());
goes_to!(nobody_after_a_roll_back, RolloutPhase::RolledBack, 0.01, Some("v2"), old());

/// Checks what a repeat goes to, in a phase, of a request that belongs to no session of a version.
macro_rules! a_repeat_goes_to {
    ($name:ident, $phase:expr, $wanted:expr, $fallback:expr) => {
        #[test]
        fn $name() {
            let rule = rollouts($phase).rule_of_repeat(at_ms(13_000), &service());
            assert_eq!((rule.wanted, rule.fallback), ($wanted, $fallback));
        }
    };
}

a_repeat_goes_to!(a_repeat_avoids_a_version_on_trial, RolloutPhase::Canary, old(), None);
a_repeat_goes_to!(a_repeat_moves_last, SHIFTING, old(), Some(VersionFilter::Any));
a_repeat_goes_to!(
    a_repeat_goes_to_a_completed_version,
    RolloutPhase::Completed,
    new(),
    Some(VersionFilter::Any)
);
a_repeat_goes_to!(a_repeat_avoids_a_rolled_back_version, RolloutPhase::RolledBack, old(), None);

#[test]
fn a_rolled_back_version_is_not_used_even_without_another() {
    assert_eq!(rule(&rollouts(RolloutPhase::RolledBack), 0.5, None).fallback, None);
}

/// Rollouts in which only busy upstreams of the old version were observed.
fn rollouts_in_a_burst(phase: RolloutPhase) -> Rollouts {
    let mut rollouts = rollouts(phase);
    let pace = RequestKind { route: None, model: None, part: LatencyKind::Pause };
    for _ in 0..10 {
        let pause = Observation::Paced(Duration::from_millis(100));
        rollouts.observe(&service(), &version("v1"), &pace, 40, pause);
    }
    rollouts
}

/// Checks the places, in thousandths, of requests that may go to the control, with these numbers of
/// upstreams of the new and the old version.
macro_rules! control_gets {
    ($name:ident, $new:expr, $old:expr, $places:expr) => {
        #[test]
        fn $name() {
            let rollouts = rollouts_in_a_burst(RolloutPhase::Canary);
            let is_for_control = |unit| {
                let control = rule(&rollouts, unit, None).control.expect("there is a control");
                control.is_for_control($new, $old)
            };
            let places: Vec<_> =
                (30..200).filter(|n| is_for_control(f64::from(*n) / 1_000.0 + 0.000_5)).collect();
            assert_eq!(places, $places.collect::<Vec<_>>());
        }
    };
}

// Each of two upstreams of the new version gets half of its 3 in 100 requests.
control_gets!(the_control_gets_as_much_as_each_upstream_of_the_new_version, 2, 50, 30..45);
control_gets!(the_control_gets_no_less_than_a_fraction_of_an_old_upstreams_share, 17, 5, 30..80);

#[test]
fn sessions_of_the_old_version_avoid_the_control() {
    let rollouts = rollouts_in_a_burst(RolloutPhase::Canary);
    let control = rule(&rollouts, 0.01, Some("v1")).control.expect("there is a control");
    assert!(!control.is_for_control(2, 5));
}

#[test]
fn there_is_no_control_when_everything_moves() {
    assert_eq!(rule(&rollouts_in_a_burst(SHIFTING), 0.99, None).control, None);
}

#[test]
fn there_is_no_control_if_the_old_version_was_observed_idle() {
    assert_eq!(rule(&rollouts(RolloutPhase::Canary), 0.5, None).control, None);
}

#[test]
fn without_an_order_any_version_is_used() {
    let rollouts = Rollouts::new(RolloutConfig::default());
    assert_eq!(rule(&rollouts, 0.5, None), VersionRule::any());
}

#[test]
fn before_the_record_is_known_the_old_version_is_preferred() {
    let mut rollouts = Rollouts::new(RolloutConfig::default());
    rollouts.apply_order(order(10));
    let rule = rule(&rollouts, 0.01, None);
    assert_eq!((rule.wanted, rule.fallback), (old(), Some(VersionFilter::Any)));
}

// The same version is ordered again after it was rolled back.
#[test]
fn a_record_that_is_older_than_the_order_does_not_belong_to_it() {
    let mut rollouts = rollouts(RolloutPhase::RolledBack);
    rollouts.apply_order(order(20));
    let due = rollouts.due(at_ms(13_000));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].expected, Some(StoreVersion::of(11)));
    assert_eq!((due[0].record.phase, due[0].record.started_ms), (RolloutPhase::Canary, 13_000));
}

#[test]
fn an_older_record_is_ignored() {
    let mut rollouts = rollouts(RolloutPhase::RolledBack);
    rollouts.stored(stored(RolloutPhase::Canary, 10));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

// A local finding applies at once, whether or not it can be stored.
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

fn totals_of(answers: u64, failures: u64) -> EvidenceTotals {
    let old = VersionCounts { answers: 100, ..VersionCounts::default() };
    let new = VersionCounts { answers, failures, ..VersionCounts::default() };
    EvidenceTotals { old, new, ..EvidenceTotals::default() }
}

fn apply_counts(rollouts: &mut Rollouts, entry: &str, order_version: u64, totals: EvidenceTotals) {
    let report = report(entry, 1, order_version, totals);
    rollouts.apply_peer_evidence(&report, ReportPath::Direct);
}

fn report(entry: &str, run: u64, order_version: u64, totals: EvidenceTotals) -> EvidenceReport {
    EvidenceReport {
        host: entry.parse().expect("a name"),
        run: ProcessRun(run),
        service: service(),
        order_version: StoreVersion::of(order_version),
        totals,
    }
}

// In a large fleet, no gateway alone sees enough of the new version.
#[test]
fn counts_of_peers_decide_too() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for n in 0..6 {
        apply_counts(&mut rollouts, &format!("entry-{n}"), 10, totals_of(2, 1));
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

// Peers send totals repeatedly: counts that were included before must not count twice.
#[test]
fn totals_that_are_sent_again_count_once() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for _ in 0..50 {
        apply_counts(&mut rollouts, "entry-1", 10, totals_of(3, 1));
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
}

#[test]
fn counts_of_a_restarted_gateway_are_added() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for run in 0..6 {
        let report = report("entry-1", run, 10, totals_of(4, 2));
        rollouts.apply_peer_evidence(&report, ReportPath::Direct);
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
}

// What a relay passes on is older than what the gateway itself says: that is no restart.
#[test]
fn older_counts_that_arrive_late_count_nothing() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for n in [3, 2, 3, 1, 2, 3, 1, 3, 2] {
        let report = report("entry-1", 1, 10, totals_of(n, n / 2));
        rollouts.apply_peer_evidence(&report, ReportPath::PassedOn);
    }
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
    assert_eq!(rollouts.statuses()[0].1.all.new, totals_of(3, 1).new);
}

#[test]
fn own_counts_that_a_relay_returns_are_not_counted_twice() {
    let mut rollouts = rollouts(RolloutPhase::Canary).of_run(ProcessRun(7));
    let answer = Observation::Answered(Duration::from_millis(20));
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    rollouts.observe(&service(), &version("v2"), &kind, 1, answer);
    let own = rollouts.local_evidence()[0].2.clone();
    rollouts.apply_peer_evidence(&report("entry-1", 7, 10, own), ReportPath::PassedOn);
    assert_eq!(rollouts.statuses()[0].1.all.new.answers, 1);
    rollouts.apply_peer_evidence(&report("entry-1", 6, 10, totals_of(3, 1)), ReportPath::PassedOn);
    assert_eq!(rollouts.statuses()[0].1.all.new.answers, 4, "those before a restart count");
}

/// The hosts whose counts are passed on after a position, and the position up to which they go.
fn passed_on(
    rollouts: &Rollouts,
    position: ReportPosition,
    max: usize,
) -> (Vec<String>, ReportPosition) {
    let (reports, position) = rollouts.reports_after(position, max);
    (reports.iter().map(|report| report.host.to_string()).collect(), position)
}

// In a large fleet each relay is told by a part of the gateways only.
#[test]
fn counts_of_other_gateways_are_passed_on_once() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    for entry in ["entry-1", "entry-2", "entry-3"] {
        apply_counts(&mut rollouts, entry, 10, totals_of(2, 1));
    }
    let start = ReportPosition::default();
    let (first, position) = passed_on(&rollouts, start, 2);
    assert_eq!(first, ["entry-1", "entry-2"]);
    let (second, position) = passed_on(&rollouts, position, 2);
    assert_eq!(second, ["entry-3"]);
    apply_counts(&mut rollouts, "entry-2", 10, totals_of(2, 1));
    assert_eq!(passed_on(&rollouts, position, 2).0, [""; 0], "nothing is new");
    apply_counts(&mut rollouts, "entry-1", 10, totals_of(3, 1));
    assert_eq!(passed_on(&rollouts, position, 2).0, ["entry-1"]);
    assert_eq!(passed_on(&rollouts, start, 9).0, ["entry-2", "entry-3", "entry-1"]);
}

#[test]
fn counts_that_a_relay_passed_on_are_not_passed_on_again() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    let report = report("entry-1", 1, 10, totals_of(2, 1));
    rollouts.apply_peer_evidence(&report, ReportPath::PassedOn);
    assert_eq!(passed_on(&rollouts, ReportPosition::default(), 9).0, [""; 0]);
}

#[test]
fn counts_of_another_order_are_ignored() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    apply_counts(&mut rollouts, "entry-1", 9, totals_of(100, 100));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
}

#[test]
fn a_gateway_sends_only_its_local_counts() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    apply_counts(&mut rollouts, "entry-1", 10, totals_of(3, 1));
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    rollouts.observe(&service(), &version("v2"), &kind, 4, Observation::Failed);
    let own = rollouts.local_evidence();
    assert_eq!(own.len(), 1);
    let totals = &own[0].2;
    assert_eq!((totals.new.answers, totals.new.failures, totals.old.answers), (1, 1, 0));
}

fn decision(order_version: u64, outcome: RolloutOutcome) -> RolloutDecision {
    RolloutDecision { service: service(), order_version: StoreVersion::of(order_version), outcome }
}

// Otherwise a gateway that has just started completes the rollout of a version that its peers found bad
// while the store was unavailable.
#[test]
fn a_decision_of_a_peer_applies_without_local_counts() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Bad));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
    let due = rollouts.due(at_ms(30_000));
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].record.phase, RolloutPhase::RolledBack, "and is not completed");
    assert_eq!(rollouts.decisions(), [decision(10, RolloutOutcome::Bad)], "it is sent on to peers");
}

#[test]
fn a_decision_on_another_order_is_ignored() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&decision(9, RolloutOutcome::Bad));
    rollouts.apply_peer_update(&decision(9, RolloutOutcome::Completed));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, new());
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Bad));
    rollouts.apply_order(order(12));
    assert_eq!(rollouts.decisions(), [], "a new order begins without a decision");
}

#[test]
fn a_decision_is_sent_until_it_is_stored() {
    let mut rollouts = rollouts(RolloutPhase::Canary);
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Bad));
    assert_eq!(rollouts.decisions().len(), 1);
    rollouts.stored(stored(RolloutPhase::RolledBack, 12));
    assert_eq!(rollouts.decisions(), []);
}

// A gateway that cannot reach the store may find the version bad after others have completed the
// rollout. If its peers trusted that, all would reject every request, as the old version is gone.
#[test]
fn a_version_that_is_completed_cannot_be_found_bad() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Bad));
    assert_eq!(rule(&rollouts, 0.99, None).wanted, new());
    assert_eq!(rollouts.decisions(), [decision(10, RolloutOutcome::Completed)]);
}

#[test]
fn a_gateway_that_cannot_reach_the_store_learns_of_the_completion_from_peers() {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Bad));
    rollouts.apply_peer_update(&decision(10, RolloutOutcome::Completed));
    let rule = rule(&rollouts, 0.99, None);
    assert_eq!((rule.wanted, rule.fallback), (new(), Some(VersionFilter::Any)));
    assert!(rollouts.due(at_ms(30_000)).is_empty(), "there is nothing left to store");
}

// The next version is compared with the completed one, not with the one before that.
#[test]
fn the_next_version_is_compared_with_the_completed_one() {
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
    assert!(rollouts.decisions().iter().any(|decision| decision.outcome == RolloutOutcome::Bad));
}

/// The phases stored near the end of a rollout in which this gateway, one of `gateways`, had ten answers of the
/// old version and one of the new, all good.
fn phases_with_few_answers(gateways: usize) -> Vec<RolloutPhase> {
    let mut rollouts = rollouts(SHIFTING);
    rollouts.set_gateways(gateways);
    let kind = RequestKind { route: None, model: None, part: LatencyKind::First };
    let mut phases = Vec::new();
    for ms in (1_000..21_000).step_by(100) {
        phases.extend(rollouts.due(at_ms(ms)).into_iter().map(|change| change.record.phase));
        if ms % 2_000 == 0 {
            let answer = Observation::Answered(Duration::from_millis(20));
            let versions = if ms == 18_000 { &["v1", "v2"][..] } else { &["v1"] };
            for name in versions {
                rollouts.observe(&service(), &version(name), &kind, 1, answer);
            }
        }
    }
    phases.dedup();
    phases
}

#[test]
fn a_version_that_can_harm_few_requests_is_completed_with_few_answers() {
    assert_eq!(phases_with_few_answers(1), [RolloutPhase::Completed]);
}

#[test]
fn requests_of_gateways_that_have_not_reported_may_be_harmed_too() {
    assert_eq!(phases_with_few_answers(40), [RolloutPhase::RolledBack]);
}

// The share was chosen for fewer requests than there are now.
#[test]
fn a_version_that_has_had_its_allowance_goes_back_to_the_usual_share() {
    let mut raised = stored(RolloutPhase::Canary, 12);
    raised.record.canary_share = Some(Permille::of(0.2));
    let mut rollouts = ordered(RolloutConfig::default().with_slack(30.0));
    rollouts.stored(raised);
    assert_eq!(rule(&rollouts, 0.1, None).wanted, new());
    apply_counts(&mut rollouts, "entry-1", 10, totals_of(25, 0));
    assert_eq!(rule(&rollouts, 0.1, None).wanted, old());
    assert_eq!(rule(&rollouts, 0.02, None).wanted, new());
}

#[test]
fn records_of_an_earlier_release_have_the_usual_share() {
    let record = r#"{"target":"v2","started_ms":1,"duration_ms":2,"phase":"canary"}"#;
    let parsed: RolloutRecord = serde_json::from_str(record).expect("it is understood");
    assert_eq!(parsed.canary_share, None);
    assert_eq!(serde_json::to_string(&parsed).expect("JSON"), record);
}
