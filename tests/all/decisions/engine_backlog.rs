//! Whether engines have time for better responses.

use std::time::Duration;

use stallhoist_policy::cascade::EngineBacklog;

/// A name; the mean prefill work, the time until the prompt is read and the strictest target in
/// milliseconds; whether there is time for a better response.
macro_rules! backlog_case {
    ($name:ident, $mean:expr, $until_read:expr, $target:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let backlog = EngineBacklog {
                mean: Duration::from_millis($mean),
                until_read: Duration::from_millis($until_read),
                strictest_target: Duration::from_millis($target),
            };
            assert_eq!(backlog.has_time_for_better(), $expected);
        }
    };
}

backlog_case!(idle_engines_read_long_prompts, 0, 1_900, 1_500, true);
backlog_case!(engines_with_some_work_read_long_prompts, 500, 1_900, 1_500, true);
backlog_case!(busy_engines_do_not_read_long_prompts, 600, 1_900, 1_500, false);
backlog_case!(busy_engines_read_prompts_that_are_read_soon, 600, 400, 1_500, true);
backlog_case!(without_a_target_nothing_is_late, 60_000, 60_000, 0, true);
backlog_case!(endless_work, u64::MAX, u64::MAX, 1_500, false);
