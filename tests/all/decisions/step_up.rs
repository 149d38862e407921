//! When a request steps up to a better model.

use std::time::Duration;

use stallhoist_policy::cascade::StepUpConfig;
use stallhoist_policy::cascade::StepUpTiming;

/// A name, the priority, the confidence, and whether the response is poor.
macro_rules! poor {
    ($name:ident, $priority:expr, $confidence:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let config = StepUpConfig { below_confidence: vec![70, 50] };
            assert_eq!(config.is_poor($priority, $confidence), $expected);
        }
    };
}

poor!(below_the_threshold, 1, Some(49), true);
poor!(at_the_threshold, 1, Some(50), false);
poor!(urgent_requests_have_a_higher_threshold, 0, Some(69), true);
poor!(the_last_threshold_applies_to_lower_priorities, 7, Some(49), true);
poor!(without_confidence_a_response_is_good, 0, None, false);
poor!(the_lowest_confidence, 0, Some(0), true);

/// A name, the elapsed time, the expected wait and the target in milliseconds, and whether the
/// better response is in time.
macro_rules! in_time {
    ($name:ident, $elapsed:expr, $wait:expr, $target:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let timing = StepUpTiming {
                elapsed: Duration::from_millis($elapsed),
                expected_wait: Duration::from_millis($wait),
                target: Duration::from_millis($target),
            };
            assert_eq!(timing.is_in_time(), $expected);
        }
    };
}

in_time!(before_the_target, 100, 500, 2_000, true);
in_time!(at_the_target, 400, 1_600, 2_000, true);
in_time!(after_the_target, 400, 1_601, 2_000, false);
in_time!(already_late, 2_500, 10, 2_000, false);
in_time!(without_a_target, 9_000, 9_000, 0, true);
