//! When an attempt without a response is given up for another upstream.

use std::time::Duration;

use stallhoist_policy::retry::GiveUpDecision;
use stallhoist_policy::retry::WaitingAttempt;

/// An attempt on an upstream that sends to others: it was expected after 400 ms, as it would be elsewhere, and has
/// 20 s left.
fn on_busy_upstream(waited_ms: u64) -> WaitingAttempt {
    WaitingAttempt {
        waited: Duration::from_millis(waited_ms),
        remaining: Duration::from_secs(20),
        min_wait: Duration::from_millis(1_000),
        max_silence: Duration::from_millis(12_000),
        expected: Duration::from_millis(400),
        expected_elsewhere: Some(Duration::from_millis(400)),
        is_upstream_alive: true,
    }
}

fn expecting(expected_ms: u64, waited_ms: u64) -> WaitingAttempt {
    let expected = Duration::from_millis(expected_ms);
    WaitingAttempt { expected, expected_elsewhere: Some(expected), ..on_busy_upstream(waited_ms) }
}

/// A name, the attempt, and whether it is given up.
macro_rules! gives_up {
    ($name:ident, $attempt:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let attempt = $attempt;
            assert_eq!(attempt.decide() == GiveUpDecision::GiveUp, $expected, "{attempt:?}");
        }
    };
}

gives_up!(never_before_the_shortest_wait, on_busy_upstream(999), false);
gives_up!(within_the_hysteresis, on_busy_upstream(1_000), false);
gives_up!(a_request_lost_at_a_busy_upstream, on_busy_upstream(1_001), true);
gives_up!(all_are_slow, expecting(3_000, 5_000), false);
gives_up!(all_are_slow_but_this_one_is_far_overdue, expecting(3_000, 7_501), true);
gives_up!(not_yet_due, expecting(3_000, 2_900), false);
gives_up!(
    another_is_much_faster_but_this_one_is_not_due,
    WaitingAttempt {
        expected_elsewhere: Some(Duration::from_millis(10)),
        ..expecting(3_000, 2_900)
    },
    false
);
gives_up!(
    another_would_be_too_late,
    WaitingAttempt { remaining: Duration::from_millis(399), ..on_busy_upstream(4_000) },
    false
);
gives_up!(
    no_other_upstream,
    WaitingAttempt { expected_elsewhere: None, ..on_busy_upstream(4_000) },
    false
);
gives_up!(
    a_silent_upstream,
    WaitingAttempt { is_upstream_alive: false, ..on_busy_upstream(1_000) },
    true
);
gives_up!(
    a_silent_upstream_while_all_are_slow,
    WaitingAttempt { is_upstream_alive: false, ..expecting(3_000, 5_000) },
    false
);
gives_up!(
    a_silent_upstream_takes_not_all_of_the_time,
    WaitingAttempt { is_upstream_alive: false, ..expecting(30_000, 12_000) },
    true
);

#[test]
fn it_is_compared_again_at_the_end_of_the_shortest_wait() {
    let decision = on_busy_upstream(300).decide();
    assert_eq!(decision, GiveUpDecision::WaitFor(Duration::from_millis(700)));
}
