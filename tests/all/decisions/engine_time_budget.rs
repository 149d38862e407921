//! The bound on the engine time of second attempts.

use stallhoist_core::EngineTime;
use stallhoist_policy::overload::EnginePrice;
use stallhoist_policy::retry::EngineTimeBudget;
use stallhoist_policy::retry::SecondAttempt;
use stallhoist_policy::retry::SecondAttempt::Repeat;
use stallhoist_policy::retry::SecondAttempt::StepUp;

use super::at_ms;

fn ms(millis: f64) -> EngineTime {
    EngineTime::from_millis(millis)
}

fn scarce() -> EnginePrice {
    EnginePrice::new(3.0)
}

/// First attempts took 1,000 ms, of which second ones may take half; `used` are those made so far.
fn budget(used: &[(SecondAttempt, f64)]) -> EngineTimeBudget {
    let mut budget = EngineTimeBudget::new(50);
    budget.record_first(at_ms(0), ms(1_000.0));
    for (kind, time) in used {
        budget.record_second(at_ms(0), *kind, ms(*time));
    }
    budget
}

/// A name, the price, the engine time used, the next attempt, and whether it is allowed.
macro_rules! allows {
    ($name:ident, $price:expr, $used:expr, $kind:expr, $time:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let mut budget = budget(&$used);
            assert_eq!(budget.allows(at_ms(0), $price, $kind, ms($time)), $expected, "{budget:?}");
        }
    };
}

allows!(up_to_the_fraction, scarce(), [], StepUp, 500.0, true);
allows!(beyond_the_fraction, scarce(), [], StepUp, 501.0, false);
allows!(
    one_long_attempt_counts_as_many_short_ones,
    scarce(),
    [(StepUp, 450.0)],
    StepUp,
    60.0,
    false
);
allows!(anything_while_engine_time_is_free, EnginePrice::FREE, [], StepUp, 9_000.0, true);
allows!(step_ups_get_what_repeats_leave, scarce(), [(Repeat, 450.0)], StepUp, 60.0, false);
allows!(repeats_go_before_step_ups, scarce(), [(StepUp, 500.0)], Repeat, 500.0, true);
allows!(repeats_are_bounded_too, scarce(), [(Repeat, 450.0)], Repeat, 60.0, false);

#[test]
fn a_process_that_has_just_started_has_no_engine_time_for_second_attempts() {
    let mut budget = EngineTimeBudget::new(50);
    assert!(!budget.allows(at_ms(0), scarce(), Repeat, ms(1.0)));
}

#[test]
fn only_recent_attempts_count() {
    let mut budget = budget(&[(StepUp, 500.0)]);
    budget.record_first(at_ms(60_000), ms(1_000.0));
    assert!(budget.allows(at_ms(60_000), scarce(), StepUp, ms(490.0)));
    assert!(!budget.allows(at_ms(60_000), scarce(), StepUp, ms(520.0)));
}
