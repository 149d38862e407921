//! Telling a bad version from a good one.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::RouteName;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RolloutEvidence;

fn route(name: &str) -> RouteName {
    name.parse().expect("a name")
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

/// Answers of the new version until it is called bad, among sixteen times as many of the
/// old one; none when it is not within `most`.
fn found_bad_after(seed: u64, old_rate: f64, new_rate: f64, most: u32) -> Option<u32> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut evidence = RolloutEvidence::default();
    for n in 1..=most {
        for _ in 0..16 {
            evidence.old_version(&route("r"), observation(&mut rng, old_rate));
        }
        evidence.new_version(&route("r"), observation(&mut rng, new_rate));
        if evidence.is_bad() {
            return Some(n);
        }
    }
    None
}

#[test]
fn a_version_that_fails_half_of_the_time_is_found_in_a_few_answers() {
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
fn a_service_that_always_fails_a_part_has_a_good_version_too() {
    let called = (0..500).filter(|seed| found_bad_after(*seed, 0.14, 0.14, 300).is_some());
    assert!(called.count() <= 2);
}

#[test]
fn a_version_that_takes_eight_times_as_long_is_found() {
    let mut evidence = RolloutEvidence::default();
    for _ in 0..50 {
        evidence.old_version(&route("r"), answered_ms(100));
    }
    for _ in 0..8 {
        evidence.new_version(&route("r"), answered_ms(800));
    }
    assert!(evidence.is_bad());
}

// Routes take different times: the new version is measured by the same route's.
#[test]
fn a_slow_route_does_not_make_a_version_slow() {
    let mut evidence = RolloutEvidence::default();
    for _ in 0..50 {
        evidence.old_version(&route("quick"), answered_ms(50));
        evidence.old_version(&route("slow"), answered_ms(1_000));
    }
    for _ in 0..100 {
        evidence.new_version(&route("slow"), answered_ms(1_100));
    }
    assert!(!evidence.is_bad());
}
