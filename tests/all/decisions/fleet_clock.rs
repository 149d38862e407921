//! The time of day that gateways agree on.

use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_policy::fleet_clock::FleetClock;

use super::at_ms;

const UNIX: Duration = Duration::from_secs(1_000_000);

fn host(n: usize) -> HostId {
    format!("host-{n}").parse().expect("a name")
}

/// The time of day at a point of the process's clock, if it is off by `error_ms`.
fn unix(ms: u64, error_ms: i64) -> Duration {
    let unix_ms = UNIX.as_millis() as i64 + ms as i64 + error_ms;
    Duration::from_millis(unix_ms as u64)
}

// A relay hears from four peers; two clocks, its own included, are off by seconds.
#[test]
fn clocks_that_are_off_have_no_effect() {
    let mut clock = FleetClock::default();
    for (n, error_ms) in [0, 3, -2, 6_000].into_iter().enumerate() {
        clock.record_peer(at_ms(100), host(n), unix(100, error_ms));
    }
    let agreed = clock.unix(at_ms(500), unix(500, -6_000));
    assert!(agreed.abs_diff(unix(500, 0)) <= Duration::from_millis(3), "{agreed:?}");
}

// A gateway goes by its relay, also when its own clock jumps, and back.
#[test]
fn a_jump_of_the_own_clock_has_no_effect() {
    let mut clock = FleetClock::default();
    assert_eq!(clock.unix(at_ms(0), unix(0, 6_000)), unix(0, 6_000), "nothing else is known");
    clock.adopt(at_ms(100), unix(100, 0));
    for error_ms in [6_000, -6_000, 0] {
        assert_eq!(clock.unix(at_ms(9_000), unix(9_000, error_ms)), unix(9_000, 0));
    }
}

// Peers that have gone do not vote for ever.
#[test]
fn readings_expire() {
    let mut clock = FleetClock::default();
    clock.record_peer(at_ms(0), host(1), unix(0, 9_000));
    clock.record_peer(at_ms(0), host(2), unix(0, 9_000));
    assert_eq!(clock.unix(at_ms(1_000), unix(1_000, 0)), unix(1_000, 9_000));
    assert_eq!(clock.unix(at_ms(31_000), unix(31_000, 0)), unix(31_000, 0));
}

// A request is counted into the window in which it began, although it is counted when it has been answered.
#[test]
fn a_past_point_has_the_time_of_day_that_it_had() {
    let mut clock = FleetClock::default();
    assert_eq!(clock.unix(at_ms(5_000), unix(5_000, 0)), unix(5_000, 0), "it is alone");
    assert_eq!(clock.unix_at(at_ms(2_000)), unix(2_000, 0));
    assert_eq!(clock.unix_at(at_ms(6_000)), unix(6_000, 0));
}
