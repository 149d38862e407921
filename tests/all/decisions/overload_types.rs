//! Values that the parts of overload control exchange.

use stallhoist_core::EngineTime;
use stallhoist_policy::overload::EnginePrice;
use stallhoist_policy::overload::ShareStatus;

macro_rules! engine_time_case {
    ($name:ident, $millis:expr, $expected:expr) => {
        #[test]
        fn $name() {
            assert_eq!(EngineTime::from_millis($millis), $expected);
        }
    };
}

engine_time_case!(negative_engine_time_is_none, -1.0, EngineTime::ZERO);
engine_time_case!(engine_time_that_is_no_number_is_none, f64::NAN, EngineTime::ZERO);

#[test]
fn engine_time_is_read_as_it_is_written() {
    let time = EngineTime::from_millis(12.5);
    assert_eq!(time.to_string(), "12.5 ms");
    assert_eq!("12.5 ms".parse(), Ok(time));
    for wrong in ["12.5", "-1 ms", "NaN ms", "inf ms", ""] {
        assert!(wrong.parse::<EngineTime>().is_err(), "{wrong}");
    }
}

#[test]
fn endless_engine_time_has_the_longest_duration() {
    let time = EngineTime::from_millis(f64::INFINITY);
    assert_eq!(time.as_duration(), std::time::Duration::MAX);
}

#[test]
fn a_price_is_paid_for_each_millisecond() {
    let price = EnginePrice::new(3.0);
    assert!((price.delay_ms(EngineTime::from_millis(20.0)) - 60.0).abs() < 1e-9);
    assert!(EnginePrice::new(-1.0).is_free() && EnginePrice::new(f64::NAN).is_free());
    assert_eq!("3".parse(), Ok(price));
    assert!("-3".parse::<EnginePrice>().is_err());
}

#[test]
fn a_workspace_without_a_limit_is_within_its_share() {
    assert!(ShareStatus::default().is_within());
    assert!(!ShareStatus::Over { relative_use: 2.0 }.is_within());
}
