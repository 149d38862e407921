//! When a better model is asked.

use std::time::Duration;

use stallhoist_policy::cascade::Pressure;
use stallhoist_policy::cascade::StepUpConfig;

use super::at_ms;

/// At this priority, confidence and pressure, a better model is asked or not.
macro_rules! steps_up {
    ($name:ident, $priority:expr, $confidence:expr, $pressure:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let config = StepUpConfig { below_confidence: vec![70, 50] };
            assert_eq!(config.is_step_up($priority, $confidence, $pressure), $expected);
        }
    };
}

steps_up!(a_doubtful_answer, 1, Some(49), 0.0, true);
steps_up!(a_good_enough_answer, 1, Some(50), 0.0, false);
steps_up!(urgent_ones_ask_more, 0, Some(69), 0.0, true);
steps_up!(the_last_holds_for_all_that_follow, 7, Some(49), 0.0, true);
steps_up!(no_opinion_is_believed, 0, None, 0.0, false);
steps_up!(under_some_pressure_only_worse_ones, 1, Some(30), 0.5, false);
steps_up!(under_some_pressure_the_worst, 1, Some(10), 0.5, true);
steps_up!(under_full_pressure_nobody, 0, Some(0), 0.9, false);
steps_up!(less_urgent_ones_give_way_first, 2, Some(0), 0.55, false);
steps_up!(while_urgent_ones_do_not, 0, Some(0), 0.55, true);

#[test]
fn pressure_follows_the_times_and_fades() {
    let mut pressure = Pressure::default();
    let target = Duration::from_secs(1);
    for n in 0..200 {
        pressure.observe(at_ms(n), Duration::from_millis(1_500), target);
    }
    let high = pressure.at(at_ms(200));
    assert!((1.3..=1.5).contains(&high), "{high}");
    let faded = pressure.at(at_ms(2_200));
    assert!((faded / high - 0.5).abs() < 0.01, "{faded}");
}

#[test]
fn a_route_without_a_target_says_nothing() {
    let mut pressure = Pressure::default();
    pressure.observe(at_ms(0), Duration::from_secs(9), Duration::ZERO);
    assert_eq!(pressure.at(at_ms(0)), 0.0);
}
