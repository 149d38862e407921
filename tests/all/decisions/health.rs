//! What evidence makes of an upstream.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::HealthUpdate;
use stallhoist_policy::balance::UpstreamHealth;

use super::at_ms;

fn start() -> UpstreamIncarnation {
    "i-1".parse().expect("a start")
}

/// All of this was seen at 0 ms.
fn after(evidence: &[Evidence]) -> UpstreamHealth {
    let mut health = UpstreamHealth::default();
    for evidence in evidence {
        health.observe(at_ms(0), &start(), *evidence);
    }
    health
}

/// After this evidence, all of it at once, a start is so for just so long.
macro_rules! stands {
    ($name:ident, $evidence:expr, $fitness:ident, $ms:expr) => {
        #[test]
        fn $name() {
            use Evidence::*;
            let health = after(&$evidence);
            let fitness = |ms: u64| health.fitness(at_ms(ms), &start());
            assert_eq!(fitness($ms - 1), Fitness::$fitness);
            assert_eq!(fitness($ms), Fitness::Well);
        }
    };
}

stands!(one_that_cannot_be_reached_rests, [Unreachable], Resting, 500);
stands!(longer_each_time, [Unreachable, Unreachable], Resting, 1_000);
stands!(but_not_for_ever, [Unreachable; 20], Resting, 4_000);
stands!(one_that_refuses_rests, [Refused], Resting, 200);
stands!(longer_the_more_it_refuses, [Refused; 3], Resting, 800);
stands!(a_refusal_for_two_seconds_at_most, [Refused; 30], Resting, 2_000);
stands!(one_that_is_another_is_over, [Misdirected], Over, 10_000);
stands!(the_more_so_the_longer, [Misdirected, Misdirected], Over, 20_000);
stands!(for_a_minute_at_most, [Misdirected; 20], Over, 60_000);
stands!(one_whose_address_is_taken_is_over, [AddressTaken], Over, 60_000);
stands!(what_is_over_does_not_rest, [Misdirected, Unreachable, Refused], Over, 10_000);
stands!(an_answer_ends_all, [Misdirected, Refused, Answered, Refused], Resting, 200);

#[test]
fn a_failure_alone_is_no_reason_to_leave_one_alone() {
    let health = after(&[Evidence::Failed; 20]);
    assert_eq!(health.fitness(at_ms(0), &start()), Fitness::Well);
    assert!(health.failure_rate(at_ms(0), &start()) > 0.9);
}

/// One that turns requests away at once has nothing to do; by its load alone it would be the
/// best choice again and again.
#[test]
fn one_that_refuses_gets_dearer_each_time() {
    let rate =
        |refusals| after(&vec![Evidence::Refused; refusals]).failure_rate(at_ms(0), &start());
    assert!(rate(1) > 0.15 && rate(5) > rate(1), "{} {}", rate(1), rate(5));
}

#[test]
fn nothing_that_is_known_of_a_start_is_known_of_a_later_one() {
    let mut health = UpstreamHealth::default();
    let start = |text: &str| -> UpstreamIncarnation { text.parse().expect("a start") };
    for _ in 0..5 {
        health.observe(at_ms(0), &start("i-1@1000"), Evidence::Misdirected);
        health.observe(at_ms(0), &start("i-1@1000"), Evidence::Failed);
    }
    assert_eq!(health.fitness(at_ms(0), &start("i-1@2000")), Fitness::Well);
    assert!(health.failure_rate(at_ms(0), &start("i-1@2000")) < 1e-9);
}

fn told(health: &UpstreamHealth, now: MonoTime) -> Vec<HealthUpdate> {
    health.peer_updates(now).map(|(_, told)| told).collect()
}

fn over(ms: u64) -> HealthUpdate {
    HealthUpdate::Over(Duration::from_millis(ms))
}

fn refusing(ms: u64) -> HealthUpdate {
    HealthUpdate::BackingOff(Duration::from_millis(ms))
}

#[test]
fn others_are_told_what_is_over_while_it_is_new() {
    let health = after(&[Evidence::Misdirected]);
    assert_eq!(told(&health, at_ms(100)), [over(9_900)]);
    assert_eq!(told(&health, at_ms(3_000)), []);
}

#[test]
fn others_are_told_of_refusals_in_a_row() {
    assert_eq!(told(&after(&[Evidence::Refused; 2]), at_ms(0)), []);
    assert_eq!(told(&after(&[Evidence::Refused; 3]), at_ms(0)), [refusing(800)]);
}

// An entry that is cut off itself reaches nobody.
#[test]
fn others_are_not_told_what_may_be_this_entrys_own_fault() {
    assert_eq!(told(&after(&[Evidence::Unreachable; 5]), at_ms(0)), []);
}

#[test]
fn what_is_told_is_believed_and_told_on() {
    let mut health = UpstreamHealth::default();
    health.apply_peer_update(at_ms(0), &start(), over(8_000));
    assert_eq!(health.fitness(at_ms(7_999), &start()), Fitness::Over);
    assert_eq!(health.fitness(at_ms(8_000), &start()), Fitness::Well);
    assert_eq!(told(&health, at_ms(500)), [over(7_500)]);
}

#[test]
fn what_is_told_again_and_again_comes_to_an_end() {
    let mut health = UpstreamHealth::default();
    for ms in (0..8_000).step_by(200) {
        health.apply_peer_update(at_ms(ms), &start(), over(8_000 - ms));
    }
    assert_eq!(told(&health, at_ms(3_000)), []);
    assert_eq!(health.fitness(at_ms(7_900), &start()), Fitness::Over);
}

#[test]
fn what_was_answered_here_goes_before_what_is_told() {
    let mut health = after(&[Evidence::Answered]);
    health.apply_peer_update(at_ms(999), &start(), over(8_000));
    assert_eq!(health.fitness(at_ms(999), &start()), Fitness::Well);
    health.apply_peer_update(at_ms(1_000), &start(), over(8_000));
    assert_eq!(health.fitness(at_ms(1_000), &start()), Fitness::Over);
}

#[test]
fn absurd_times_are_bounded() {
    let mut health = UpstreamHealth::default();
    health.apply_peer_update(at_ms(0), &start(), HealthUpdate::Over(Duration::MAX));
    assert_eq!(health.fitness(at_ms(60_000), &start()), Fitness::Well);
    health.apply_peer_update(at_ms(70_000), &start(), HealthUpdate::BackingOff(Duration::MAX));
    assert_eq!(health.fitness(at_ms(72_000), &start()), Fitness::Well);
}
