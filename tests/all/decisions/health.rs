//! Effect of signals on the health of an upstream.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::HealthUpdate;
use stallhoist_policy::balance::UpstreamHealth;

use super::at_ms;

fn incarnation() -> UpstreamIncarnation {
    "i-1".parse().expect("an incarnation")
}

/// Health after these signals, all of them at 0 ms.
fn after(evidence: &[Evidence]) -> UpstreamHealth {
    let mut health = UpstreamHealth::default();
    for evidence in evidence {
        health.observe(at_ms(0), &incarnation(), *evidence);
    }
    health
}

/// Checks that after these signals the incarnation is in this state for exactly `$ms`.
macro_rules! state_after {
    ($name:ident, $evidence:expr, $fitness:ident, $ms:expr) => {
        #[test]
        fn $name() {
            use Evidence::*;
            let health = after(&$evidence);
            let fitness = |ms: u64| health.fitness(at_ms(ms), &incarnation());
            assert_eq!(fitness($ms - 1), Fitness::$fitness);
            assert_eq!(fitness($ms), Fitness::Well);
        }
    };
}

state_after!(an_unreachable_upstream_backs_off, [Unreachable], Resting, 500);
state_after!(for_longer_each_time, [Unreachable, Unreachable], Resting, 1_000);
state_after!(for_four_seconds_at_most, [Unreachable; 20], Resting, 4_000);
state_after!(a_rejecting_upstream_backs_off, [Refused], Resting, 200);
state_after!(for_longer_after_each_rejection, [Refused; 3], Resting, 800);
state_after!(for_two_seconds_at_most, [Refused; 30], Resting, 2_000);
state_after!(a_misdirected_upstream_is_terminated, [Misdirected], Over, 10_000);
state_after!(for_longer_when_misdirected_again, [Misdirected, Misdirected], Over, 20_000);
state_after!(for_a_minute_at_most, [Misdirected; 20], Over, 60_000);
state_after!(an_upstream_whose_address_is_taken_is_terminated, [AddressTaken], Over, 60_000);
state_after!(
    a_terminated_upstream_does_not_back_off,
    [Misdirected, Unreachable, Refused],
    Over,
    10_000
);
state_after!(a_response_ends_all_states, [Misdirected, Refused, Answered, Refused], Resting, 200);

#[test]
fn a_failure_alone_causes_no_backoff() {
    let health = after(&[Evidence::Failed; 20]);
    assert_eq!(health.fitness(at_ms(0), &incarnation()), Fitness::Well);
    assert!(health.failure_rate(at_ms(0), &incarnation()) > 0.9);
}

/// Guards against sending request after request to an upstream that rejects them at once: it has nothing
/// in progress, so by its load alone it is the best choice.
#[test]
fn each_rejection_raises_the_failure_rate() {
    let rate = |rejections| {
        after(&vec![Evidence::Refused; rejections]).failure_rate(at_ms(0), &incarnation())
    };
    assert!(rate(1) > 0.15 && rate(5) > rate(1), "{} {}", rate(1), rate(5));
}

#[test]
fn a_later_incarnation_starts_healthy() {
    let mut health = UpstreamHealth::default();
    let incarnation = |text: &str| -> UpstreamIncarnation { text.parse().expect("an incarnation") };
    for _ in 0..5 {
        health.observe(at_ms(0), &incarnation("i-1@1000"), Evidence::Misdirected);
        health.observe(at_ms(0), &incarnation("i-1@1000"), Evidence::Failed);
    }
    assert_eq!(health.fitness(at_ms(0), &incarnation("i-1@2000")), Fitness::Well);
    assert!(health.failure_rate(at_ms(0), &incarnation("i-1@2000")) < 1e-9);
}

fn updates(health: &UpstreamHealth, now: MonoTime) -> Vec<HealthUpdate> {
    health.peer_updates(now).map(|(_, update)| update).collect()
}

fn terminated(ms: u64) -> HealthUpdate {
    HealthUpdate::Over(Duration::from_millis(ms))
}

fn backing_off(ms: u64) -> HealthUpdate {
    HealthUpdate::BackingOff(Duration::from_millis(ms))
}

#[test]
fn a_new_termination_is_published() {
    let health = after(&[Evidence::Misdirected]);
    assert_eq!(updates(&health, at_ms(100)), [terminated(9_900)]);
    assert_eq!(updates(&health, at_ms(3_000)), []);
}

#[test]
fn rejections_in_a_row_are_published() {
    assert_eq!(updates(&after(&[Evidence::Refused; 2]), at_ms(0)), []);
    assert_eq!(updates(&after(&[Evidence::Refused; 3]), at_ms(0)), [backing_off(800)]);
}

// A gateway that is partitioned itself finds every upstream unreachable.
#[test]
fn an_unreachable_upstream_is_not_published() {
    assert_eq!(updates(&after(&[Evidence::Unreachable; 5]), at_ms(0)), []);
}

#[test]
fn a_peers_update_is_applied_and_published() {
    let mut health = UpstreamHealth::default();
    health.apply_peer_update(at_ms(0), &incarnation(), terminated(8_000));
    assert_eq!(health.fitness(at_ms(7_999), &incarnation()), Fitness::Over);
    assert_eq!(health.fitness(at_ms(8_000), &incarnation()), Fitness::Well);
    assert_eq!(updates(&health, at_ms(500)), [terminated(7_500)]);
}

#[test]
fn a_repeated_update_is_not_published_forever() {
    let mut health = UpstreamHealth::default();
    for ms in (0..8_000).step_by(200) {
        health.apply_peer_update(at_ms(ms), &incarnation(), terminated(8_000 - ms));
    }
    assert_eq!(updates(&health, at_ms(3_000)), []);
    assert_eq!(health.fitness(at_ms(7_900), &incarnation()), Fitness::Over);
}

#[test]
fn a_local_response_takes_precedence_over_a_peers_update() {
    let mut health = after(&[Evidence::Answered]);
    health.apply_peer_update(at_ms(999), &incarnation(), terminated(8_000));
    assert_eq!(health.fitness(at_ms(999), &incarnation()), Fitness::Well);
    health.apply_peer_update(at_ms(1_000), &incarnation(), terminated(8_000));
    assert_eq!(health.fitness(at_ms(1_000), &incarnation()), Fitness::Over);
}

#[test]
fn durations_of_updates_are_bounded() {
    let mut health = UpstreamHealth::default();
    health.apply_peer_update(at_ms(0), &incarnation(), HealthUpdate::Over(Duration::MAX));
    assert_eq!(health.fitness(at_ms(60_000), &incarnation()), Fitness::Well);
    health.apply_peer_update(
        at_ms(70_000),
        &incarnation(),
        HealthUpdate::BackingOff(Duration::MAX),
    );
    assert_eq!(health.fitness(at_ms(72_000), &incarnation()), Fitness::Well);
}
