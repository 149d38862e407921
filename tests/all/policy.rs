//! Placement, admission, retry and version decisions, with simulated time and seeded random
//! numbers.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;
use stallhoist_core::prefix_marks;
use stallhoist_policy::admission::AdmissionConfig;
use stallhoist_policy::admission::AdmissionController;
use stallhoist_policy::admission::AdmissionDecision;
use stallhoist_policy::admission::AdmissionRequest;
use stallhoist_policy::admission::QueueDecision;
use stallhoist_policy::admission::StepModel;
use stallhoist_policy::placement::Candidate;
use stallhoist_policy::placement::Choice;
use stallhoist_policy::placement::Member;
use stallhoist_policy::placement::ProbePlan;
use stallhoist_policy::placement::choose;
use stallhoist_policy::placement::plan_probes;
use stallhoist_policy::placement::subset;
use stallhoist_policy::retry::AttemptOutcome;
use stallhoist_policy::retry::Ejection;
use stallhoist_policy::retry::EjectionConfig;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_policy::retry::may_retry;
use stallhoist_policy::version::VersionCandidate;
use stallhoist_policy::version::VersionRefusal;
use stallhoist_policy::version::split;

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("host-{n}").parse().expect("a name")).collect()
}

fn at_ms(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

/// Inputs and decision: repeatable, proved not run, delivered, has cost, attempts, budget left,
/// may retry.
const RETRY_CASES: [(bool, bool, bool, bool, u32, bool, bool); 9] = [
    (true, false, false, true, 1, true, true),
    (true, false, false, true, 1, false, false),
    (true, false, true, true, 1, true, false),
    (true, false, false, true, 3, true, false),
    (false, false, false, true, 1, true, false),
    (false, true, false, true, 1, true, true),
    (false, true, false, false, 1, false, true),
    (false, true, true, false, 1, true, false),
    (true, true, false, false, 2, false, true),
];

#[test]
fn retry_decisions() {
    for row in RETRY_CASES {
        let (is_repeatable, is_proved_not_run, is_delivered, has_cost, attempts, budget, expected) =
            row;
        let outcome = AttemptOutcome {
            is_repeatable,
            is_proved_not_run,
            is_delivered,
            has_cost,
            attempts,
            max_attempts: 3,
        };
        assert_eq!(may_retry(outcome, || budget), expected, "{outcome:?}");
    }
}

#[test]
fn retries_stay_within_ten_percent_when_all_upstreams_fail() {
    let mut budget = RetryBudget::new(10, 10);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.request();
        while budget.take() {
            retries += 1;
        }
    }
    assert!(retries <= 1_000 + 10, "{retries} retries");
}

#[test]
fn ejection_respects_the_maximum_share_and_never_ejects_all() {
    for (count, max_ejected) in [(1, 0), (2, 1), (3, 1), (10, 3), (20, 6)] {
        let hosts = hosts(count);
        let mut ejection = Ejection::new(EjectionConfig::default());
        for host in &hosts {
            for _ in 0..5 {
                ejection.failed(at_ms(0), host, &mut rng());
            }
        }
        let usable = ejection.usable(at_ms(1), &hosts);
        assert_eq!(usable.len(), count - max_ejected, "of {count}");
    }
}

#[test]
fn an_ejected_upstream_gets_one_trial_request() {
    let hosts = hosts(10);
    let mut ejection = Ejection::new(EjectionConfig::default());
    for _ in 0..5 {
        ejection.failed(at_ms(0), &hosts[0], &mut rng());
    }
    assert!(!ejection.usable(at_ms(1_000), &hosts).contains(&hosts[0]));
    assert!(ejection.usable(at_ms(4_000), &hosts).contains(&hosts[0]));
    ejection.sent(&hosts[0]);
    assert!(!ejection.usable(at_ms(4_000), &hosts).contains(&hosts[0]), "only one trial request");
    ejection.failed(at_ms(4_100), &hosts[0], &mut rng());
    assert!(!ejection.usable(at_ms(7_000), &hosts).contains(&hosts[0]), "the pause has doubled");
    ejection.succeeded(&hosts[0]);
    assert!(ejection.usable(at_ms(7_000), &hosts).contains(&hosts[0]));
}

fn version(name: &str, weight: u32, cap_percent: f64, is_held: bool) -> VersionCandidate {
    VersionCandidate { version: name.parse().expect("a version"), weight, cap_percent, is_held }
}

/// The share of each version over 20,000 choices, in percent.
fn shares(versions: &[VersionCandidate]) -> Vec<f64> {
    let mut rng = rng();
    let mut counts = vec![0.0; versions.len()];
    for _ in 0..20_000 {
        let chosen = split(versions, &mut rng).expect("a version is chosen");
        let at = versions.iter().position(|v| v.version == chosen).expect("one of them");
        counts[at] += 1.0 / 200.0;
    }
    counts
}

#[test]
fn requests_are_split_by_weight_within_caps_and_holds() {
    for (versions, expected) in [
        (vec![version("m@a", 3, 100.0, false), version("m@b", 1, 100.0, false)], vec![75.0, 25.0]),
        (vec![version("m@a", 1, 100.0, false), version("m@b", 1, 5.0, false)], vec![95.0, 5.0]),
        (vec![version("m@a", 1, 100.0, true), version("m@b", 1, 5.0, false)], vec![0.0, 100.0]),
        (
            vec![
                version("m@a", 1, 10.0, false),
                version("m@b", 1, 100.0, false),
                version("m@c", 2, 100.0, false),
            ],
            vec![10.0, 30.0, 60.0],
        ),
    ] {
        for (share, wanted) in shares(&versions).into_iter().zip(expected) {
            assert!((share - wanted).abs() < 1.5, "{versions:?}: {share} for {wanted}");
        }
    }
}

#[test]
fn without_an_active_version_none_is_chosen() {
    let none = split(&[version("m@a", 0, 100.0, false)], &mut rng());
    assert_eq!(none, Err(VersionRefusal::NoneActive));
    let held = split(&[version("m@a", 1, 100.0, true)], &mut rng());
    assert_eq!(held, Err(VersionRefusal::AllHeld));
}

fn candidate(number: usize, first_token_ms: u64, load: u32, refuses: bool) -> Candidate {
    Candidate {
        host: hosts(number + 1).remove(number),
        first_token: Duration::from_millis(first_token_ms),
        round_trip: Duration::ZERO,
        load_requests: load,
        refusal: refuses
            .then_some((NotRunReason::Overloaded, Duration::from_millis(first_token_ms))),
    }
}

#[test]
fn the_earliest_first_token_is_chosen_then_the_least_load() {
    let candidates =
        [candidate(0, 30, 0, false), candidate(1, 10, 9, false), candidate(2, 10, 1, false)];
    assert_eq!(choose(&candidates, &mut rng()), Choice::Send(candidates[2].host.clone()));
    let rejecting = [candidate(0, 30, 0, true), candidate(1, 10, 9, true)];
    let retry_after = Duration::from_millis(10);
    let refuse = Choice::Refuse { reason: NotRunReason::Overloaded, retry_after };
    assert_eq!(choose(&rejecting, &mut rng()), refuse);
    assert_eq!(choose(&[], &mut rng()), Choice::NoCandidate);
}

#[test]
fn the_sessions_host_is_probed_and_no_host_twice() {
    let hosts = hosts(20);
    for key in 0..100 {
        let plan = ProbePlan { probes: 3, session_host: Some(hosts[4].clone()), affinity_key: key };
        let asked = plan_probes(&plan, &hosts, &mut rng());
        assert_eq!(asked[0], hosts[4]);
        let mut unique = asked.clone();
        unique.sort();
        unique.dedup();
        assert_eq!((asked.len(), unique.len()), (3, 3));
    }
}

#[test]
fn prefix_marks_are_bounded_and_cover_the_first_and_the_last_block() {
    assert_eq!(prefix_marks(0), Vec::<usize>::new());
    assert_eq!(prefix_marks(1), [1]);
    assert_eq!(prefix_marks(8), [1, 2, 3, 4, 6, 8]);
    assert_eq!(prefix_marks(13), [1, 2, 3, 4, 6, 8, 12, 13]);
    for blocks in 1..2_000 {
        let marks = prefix_marks(blocks);
        assert!(marks.is_sorted() && marks.len() <= 22, "{blocks}: {marks:?}");
        assert_eq!(marks.last(), Some(&blocks));
    }
}

#[test]
fn a_subset_is_bounded_prefers_its_zone_and_is_stable() {
    let member = |n: usize| Member {
        host: format!("host-{n}").parse().expect("a name"),
        zone: format!("zone-{}", n % 3).parse().expect("a name"),
    };
    let all: Vec<_> = (0..60).map(member).collect();
    let me = "entry-1".parse().expect("a name");
    let zone = "zone-0".parse().expect("a name");
    let before = subset(&me, &zone, &all, 12);
    assert_eq!(before.len(), 12);
    let near = all.iter().filter(|m| m.zone == zone && before.contains(&m.host)).count();
    assert_eq!(near, 9, "one in four is in another zone");
    let without: Vec<_> = all.iter().filter(|m| m.host != before[0]).cloned().collect();
    let after = subset(&me, &zone, &without, 12);
    let moved = after.iter().filter(|host| !before.contains(host)).count();
    assert_eq!(moved, 1, "only the removed host is replaced");
}

#[test]
fn the_step_model_fits_and_bounds_the_batch() {
    let mut steps = StepModel::default();
    for round in 0..2_000_u64 {
        let batch = 1 + (round % 40) as usize;
        steps.observe(batch, Duration::from_micros(12_000 + 600 * batch as u64));
    }
    let predicted = steps.step(20).as_micros();
    assert!((23_500..24_500).contains(&predicted), "{predicted} us");
    let batch = steps.largest_batch_within(Duration::from_millis(43), 256);
    assert!((46..=51).contains(&batch), "{batch}");
}

fn admission_request(id: u32, now: MonoTime, deadline_ms: u64) -> AdmissionRequest<u32> {
    AdmissionRequest {
        id,
        key: u64::from(id),
        arrived: now,
        deadline: now.after(Duration::from_millis(deadline_ms)),
        uncached_tokens: 0,
        completion_tokens: 0,
    }
}

/// A controller with one slot, whose estimate of a call is 100 ms.
fn single_slot() -> AdmissionController<u32> {
    let config = AdmissionConfig { max_in_flight_requests: 1, ..AdmissionConfig::default() };
    let mut admission = AdmissionController::new(config);
    for id in 0..50 {
        admission.offer(at_ms(0), admission_request(id, at_ms(0), 10_000));
        admission.finished(at_ms(100), &id, 0);
    }
    admission
}

#[test]
fn queued_requests_start_in_deadline_order() {
    let mut admission = single_slot();
    assert_eq!(
        admission.offer(at_ms(0), admission_request(100, at_ms(0), 5_000)),
        AdmissionDecision::Start
    );
    assert_eq!(
        admission.offer(at_ms(1), admission_request(101, at_ms(1), 1_500)),
        AdmissionDecision::Queued
    );
    assert_eq!(
        admission.offer(at_ms(2), admission_request(102, at_ms(2), 700)),
        AdmissionDecision::Queued
    );
    admission.finished(at_ms(100), &100, 0);
    assert_eq!(admission.next(at_ms(100)), [QueueDecision::Start(102)]);
}

#[test]
fn a_late_request_is_rejected_on_arrival_with_a_reservation() {
    let mut admission = single_slot();
    let mut refused = None;
    for id in 100..200 {
        if let AdmissionDecision::Refused { reason, retry_after } =
            admission.offer(at_ms(0), admission_request(id, at_ms(0), 1_000))
        {
            assert_eq!(reason, NotRunReason::Overloaded);
            refused = Some((id, retry_after));
            break;
        }
    }
    let (id, retry_after) = refused.expect("a request is rejected");
    assert_eq!(admission.reserved(), 1);
    let back = at_ms(0).after(retry_after);
    // Meanwhile the running and queued requests continue.
    let mut now = at_ms(100);
    let mut running = 100;
    while now < back {
        admission.finished(now, &running, 0);
        for next in admission.next(now) {
            if let QueueDecision::Start(started) = next {
                running = started;
            }
        }
        now = now.after(Duration::from_millis(100));
    }
    let returned = admission.offer(back, admission_request(id, back, 1_000));
    assert!(
        matches!(returned, AdmissionDecision::Start | AdmissionDecision::Queued),
        "{returned:?}"
    );
    assert_eq!(admission.reserved(), 0);
}

#[test]
fn an_overdue_queued_request_is_rejected() {
    let mut admission = single_slot();
    admission.offer(at_ms(0), admission_request(100, at_ms(0), 60_000));
    assert_eq!(
        admission.offer(at_ms(1), admission_request(101, at_ms(1), 1_000)),
        AdmissionDecision::Queued
    );
    let due = admission.next_due().expect("a request is queued");
    let late = due.after(Duration::from_millis(1));
    let refused = admission.next(late);
    assert!(matches!(refused[..], [QueueDecision::Refused { id: 101, .. }]), "{refused:?}");
}

#[test]
fn a_passed_deadline_is_rejected_with_its_own_reason() {
    let mut admission = single_slot();
    let refused = admission.offer(at_ms(5), admission_request(100, at_ms(5), 0));
    assert!(matches!(
        refused,
        AdmissionDecision::Refused { reason: NotRunReason::DeadlinePassed, .. }
    ));
}
