//! Tells bad versions from good ones.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutEvidence;
use stallhoist_policy::rollout::TimedCounts;

/// Requests in progress at the upstream.
const LOAD: u32 = 4;

fn kind(route: &str) -> RequestKind {
    let route = Some(route.parse().expect("a name"));
    RequestKind { route, model: None, part: LatencyKind::First }
}

fn kind_of_model(model: &str) -> RequestKind {
    RequestKind { model: Some(model.parse().expect("a name")), ..kind("r") }
}

fn answered_ms(ms: u64) -> Observation {
    Observation::Answered(Duration::from_millis(ms))
}

fn observation(rng: &mut StdRng, failure_rate: f64) -> Observation {
    if rng.random_bool(failure_rate) {
        return Observation::Failed;
    }
    answered_ms(rng.random_range(50..200))
}

/// The responses of the new version until it is found bad, among sixteen times as many of the old one;
/// none if it is not found within `most`.
fn found_bad_after(seed: u64, old_rate: f64, new_rate: f64, most: u32) -> Option<u32> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut evidence = RolloutEvidence::default();
    for n in 1..=most {
        for _ in 0..16 {
            evidence.old_version(&kind("r"), LOAD, observation(&mut rng, old_rate));
        }
        evidence.new_version(&kind("r"), LOAD, observation(&mut rng, new_rate));
        if evidence.is_bad() {
            return Some(n);
        }
    }
    None
}

#[test]
fn a_version_that_fails_half_of_the_time_is_found_in_a_few_responses() {
    for seed in 0..200 {
        let after = found_bad_after(seed, 0.02, 0.5, 100).expect("it is found");
        assert!(after <= 40, "seed {seed}: {after}");
    }
}

#[test]
fn a_version_as_good_as_the_old_one_is_not_called_bad() {
    let called = (0..500).filter(|seed| found_bad_after(*seed, 0.02, 0.02, 300).is_some());
    assert!(called.count() <= 1);
}

#[test]
fn a_good_version_of_a_service_with_constant_failures_is_not_called_bad() {
    let called = (0..500).filter(|seed| found_bad_after(*seed, 0.14, 0.14, 300).is_some());
    assert!(called.count() <= 2);
}

#[test]
fn a_version_that_takes_eight_times_as_long_is_found() {
    let mut evidence = RolloutEvidence::default();
    for _ in 0..50 {
        evidence.old_version(&kind("r"), LOAD, answered_ms(100));
    }
    for _ in 0..8 {
        evidence.new_version(&kind("r"), LOAD, answered_ms(800));
    }
    assert!(evidence.is_bad());
}

// Routes have different latencies: the new version is compared with the same route.
#[test]
fn a_slow_route_does_not_make_a_version_slow() {
    let mut evidence = RolloutEvidence::default();
    for _ in 0..50 {
        evidence.old_version(&kind("quick"), LOAD, answered_ms(50));
        evidence.old_version(&kind("slow"), LOAD, answered_ms(1_000));
    }
    for _ in 0..100 {
        evidence.new_version(&kind("slow"), LOAD, answered_ms(1_100));
    }
    assert!(!evidence.is_bad());
}

// Baselines are kept per model: a baseline over all models would hide that the small one takes eight
// times as long in half of its responses.
#[test]
fn a_slow_version_is_found_whatever_the_mixture_of_models() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut evidence = RolloutEvidence::default();
        let mut time = |base_ms: u64| answered_ms(base_ms * rng.random_range(5..20) / 10);
        for _ in 0..100 {
            evidence.old_version(&kind_of_model("small"), LOAD, time(60));
            evidence.old_version(&kind_of_model("large"), LOAD, time(500));
        }
        let mut answers = 0;
        while !evidence.is_bad() {
            answers += 1;
            assert!(answers < 60, "seed {seed}");
            let factor = if answers % 2 == 0 { 8 } else { 1 };
            evidence.new_version(&kind_of_model("small"), LOAD, time(60 * factor));
        }
    }
}

#[test]
fn widely_varying_latencies_do_not_make_a_version_slow() {
    let mut called = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut evidence = RolloutEvidence::default();
        let mut time = || answered_ms(40 + rng.random_range(0..100u64).pow(2) / 8);
        for _ in 0..300 {
            for _ in 0..10 {
                evidence.old_version(&kind("r"), LOAD, time());
            }
            evidence.new_version(&kind("r"), LOAD, time());
        }
        called += usize::from(evidence.is_bad());
    }
    assert!(called <= 2, "{called} of 200");
}

// Overdue responses count at once: otherwise a rollout may be completed before the first slow response
// arrives.
#[test]
fn overdue_responses_count_before_they_arrive() {
    let mut evidence = RolloutEvidence::default();
    for _ in 0..100 {
        evidence.old_version(&kind("r"), LOAD, answered_ms(100));
    }
    assert_eq!(evidence.slow_threshold(&kind("r"), LOAD), Some(Duration::from_millis(200)));
    for _ in 0..15 {
        evidence.new_version(&kind("r"), LOAD, Observation::Overdue);
    }
    assert!(evidence.is_bad());
}

#[test]
fn an_overdue_response_counts_once() {
    let mut evidence = RolloutEvidence::default();
    evidence.new_version(&kind("r"), LOAD, Observation::Overdue);
    evidence.new_version(&kind("r"), LOAD, Observation::AnsweredOverdue(Duration::from_secs(1)));
    let own = evidence.own().new;
    let TimedCounts { timed, slow } = own.first_parts;
    assert_eq!((own.answers, own.failures, timed, slow), (1, 0, 1, 1));
}

#[test]
fn without_a_baseline_nothing_is_overdue() {
    let mut evidence = RolloutEvidence::default();
    evidence.old_version(&kind("r"), LOAD, answered_ms(100));
    assert_eq!(evidence.slow_threshold(&kind("r"), LOAD), None);
}

// A version that generates slowly still sends the first chunk in time.
#[test]
fn a_version_that_generates_slowly_is_found() {
    let token_interval = RequestKind { part: LatencyKind::Pause, ..kind("r") };
    let paced_ms = |ms| Observation::Paced(Duration::from_millis(ms));
    let mut evidence = RolloutEvidence::default();
    for _ in 0..100 {
        evidence.old_version(&kind("r"), LOAD, answered_ms(100));
        evidence.old_version(&token_interval, LOAD, paced_ms(70));
    }
    for _ in 0..15 {
        evidence.new_version(&kind("r"), LOAD, answered_ms(110));
        evidence.new_version(&token_interval, LOAD, paced_ms(400));
    }
    assert!(evidence.is_bad());
    assert_eq!(evidence.own().new.answers, 15, "a token interval is not a response");
}
