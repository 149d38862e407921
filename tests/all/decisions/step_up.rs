//! When a better model is asked.

use std::time::Duration;

use stallhoist_policy::cascade::StepUpConfig;
use stallhoist_policy::cascade::StepUpTiming;

/// At this priority and confidence, an answer is poor or not.
macro_rules! poor {
    ($name:ident, $priority:expr, $confidence:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let config = StepUpConfig { below_confidence: vec![70, 50] };
            assert_eq!(config.is_poor($priority, $confidence), $expected);
        }
    };
}

poor!(a_doubtful_answer, 1, Some(49), true);
poor!(a_good_enough_answer, 1, Some(50), false);
poor!(urgent_ones_ask_more, 0, Some(69), true);
poor!(the_last_holds_for_all_that_follow, 7, Some(49), true);
poor!(no_opinion_is_believed, 0, None, false);
poor!(the_worst_opinion, 0, Some(0), true);

/// With so many milliseconds gone, to wait and aimed for, a better answer is in time or not.
macro_rules! in_time {
    ($name:ident, $elapsed:expr, $wait:expr, $target:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let better = StepUpTiming {
                elapsed: Duration::from_millis($elapsed),
                expected_wait: Duration::from_millis($wait),
                target: Duration::from_millis($target),
            };
            assert_eq!(better.is_in_time(), $expected);
        }
    };
}

in_time!(soon_enough, 100, 500, 2_000, true);
in_time!(just_soon_enough, 400, 1_600, 2_000, true);
in_time!(too_long_a_wait, 400, 1_601, 2_000, false);
in_time!(the_request_is_late_already, 2_500, 10, 2_000, false);
in_time!(a_route_without_a_target, 9_000, 9_000, 0, true);
