//! Which requests a stopping gateway still accepts.

use std::time::Duration;

use stallhoist_gateway::planned_stop::PlannedStop;

use super::at_ms;

/// Asserts whether a request with this time limit is accepted at a time, after a stop requested at 10 s with 8 s
/// of grace.
macro_rules! accepts {
    ($name:ident, $at_ms:expr, $limit_ms:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
            assert_eq!(stop.accepts(at_ms($at_ms), at_ms($at_ms + $limit_ms)), $expected);
        }
    };
}

accepts!(a_long_request_at_once, 10_000, 20_000, true);
accepts!(a_long_request_while_callers_may_still_arrive, 12_799, 20_000, true);
accepts!(no_request_that_might_be_cut_off, 12_800, 4_701, false);
accepts!(a_request_whose_time_limit_ends_before_the_stop, 12_800, 4_700, true);
accepts!(a_short_request_almost_until_the_end, 15_500, 2_000, true);
accepts!(no_request_that_might_outlast_the_stop, 15_501, 2_000, false);
accepts!(a_request_of_little_time_near_the_end, 17_400, 100, true);
accepts!(no_request_when_responses_are_due, 17_500, 1, false);

#[test]
fn the_process_ends_before_the_kill() {
    let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
    assert_eq!(stop.end(), at_ms(17_800));
}

#[test]
fn responses_are_due_before_the_process_ends() {
    let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
    assert_eq!(stop.responses_due(), at_ms(17_500));
}

#[test]
fn a_short_grace_accepts_nothing_that_cannot_complete() {
    let stop = PlannedStop::new(at_ms(0), Duration::from_millis(1_000));
    assert!(!stop.accepts(at_ms(500), at_ms(501)));
    assert_eq!(stop.end(), at_ms(800));
}
