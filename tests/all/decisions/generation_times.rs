//! Time between the events of a stream, as learned from streams of simulated engines.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;
use stallhoist_policy::balance::EventIntervals;
use stallhoist_policy::balance::EventMeter;
use stallhoist_policy::balance::EventRead;
use stallhoist_policy::balance::GenerationTime;
use stallhoist_policy::balance::GenerationTimes;
use stallhoist_policy::balance::ResponseLengths;

fn service() -> ServiceName {
    "service".parse().expect("a name")
}

fn model() -> ModelName {
    "m".parse().expect("a name")
}

/// What is learned from streams whose events take `base_ms`, and `per_request_ms` more for each other request.
fn learned(base_ms: f64, per_request_ms: f64, streams: u32) -> GenerationTime {
    let mut times = GenerationTimes::default();
    for n in 0..streams {
        let others = f64::from(n % 40);
        let mean_ms = base_ms + per_request_ms * others;
        times.observe(&service(), &model(), EventIntervals { mean_ms, others });
    }
    times.time(&service(), &model()).expect("an estimate")
}

/// Checks that the expected interval of an idle and of a busy upstream is within a factor of the true one.
macro_rules! learned {
    ($name:ident, $base_ms:expr, $per_request_ms:expr, $streams:expr, $max_error:expr) => {
        #[test]
        fn $name() {
            let time = learned($base_ms, $per_request_ms, $streams);
            for others in [0.0, 10.0, 40.0] {
                let error = time.interval_ms(others) / ($base_ms + $per_request_ms * others);
                assert!(error < $max_error && error > 1.0 / $max_error, "{others}: {error}");
            }
        }
    };
}

learned!(a_fast_model_after_100_streams, 5.0, 0.1, 100, 1.5);
learned!(a_typical_model_after_50_streams, 25.0, 0.5, 50, 1.2);
learned!(a_slow_model_after_200_streams, 200.0, 2.0, 200, 1.3);
learned!(a_model_that_slows_down_with_its_load, 20.0, 2.0, 800, 1.4);

#[test]
fn nothing_is_expected_before_the_first_stream() {
    assert_eq!(GenerationTimes::default().time(&service(), &model()), None);
}

/// Checks that an impossible observation leaves the estimate within its bounds.
macro_rules! ignored {
    ($name:ident, $mean_ms:expr, $others:expr) => {
        #[test]
        fn $name() {
            let mut times = GenerationTimes::default();
            for _ in 0..1_000 {
                let intervals = EventIntervals { mean_ms: $mean_ms, others: $others };
                times.observe(&service(), &model(), intervals);
            }
            let time = times.time(&service(), &model()).expect("an estimate");
            assert!((0.1..=2_000.0).contains(&time.base_ms), "{time:?}");
            assert!((0.001..=100.0).contains(&time.per_request_ms), "{time:?}");
        }
    };
}

ignored!(not_a_number, f64::NAN, 1.0);
ignored!(an_infinite_interval, f64::INFINITY, 1.0);
ignored!(a_negative_interval, -1e9, 1.0);
ignored!(an_infinite_load, 20.0, f64::INFINITY);
ignored!(a_week, 6e8, 1.0);

#[test]
fn the_engine_time_of_a_batch_is_the_time_of_its_steps() {
    let time = GenerationTime { base_ms: 20.0, per_request_ms: 1.0 };
    assert_eq!(time.engine_ms(0.0), 20.0);
    assert_eq!(time.engine_ms(19.0) * 20.0, time.interval_ms(19.0));
}

#[test]
fn the_length_of_a_routes_streams_is_learned_and_bounded_by_the_caller() {
    let route = "route".parse().expect("a name");
    let mut lengths = ResponseLengths::default();
    assert_eq!(lengths.events(&route, 100), None);
    for n in 0..400 {
        lengths.observe(&route, if n % 2 == 0 { 20 } else { 60 });
    }
    let events = lengths.events(&route, 100).expect("a length");
    assert!((35.0..45.0).contains(&events), "{events}");
    assert_eq!(lengths.events(&route, 10), Some(10.0));
}

fn read(last_id: u64, took_ms: u64, not_read_ms: u64) -> EventRead {
    EventRead {
        last_id,
        took: Duration::from_millis(took_ms),
        not_read: Duration::from_millis(not_read_ms),
        others: 3,
    }
}

#[test]
fn a_long_stream_is_observed_before_its_end() {
    let mut meter = EventMeter::default();
    let observed: Vec<_> = (1..=40).filter_map(|id| meter.record(read(id, 25, 1))).collect();
    assert_eq!(observed, [EventIntervals { mean_ms: 25.0, others: 3.0 }; 2]);
    assert_eq!(meter.ended(), Some(EventIntervals { mean_ms: 25.0, others: 3.0 }));
}

#[test]
fn a_few_events_say_nothing() {
    let mut meter = EventMeter::default();
    assert!((1..=4).all(|id| meter.record(read(id, 25, 0)).is_none()));
    assert_eq!(meter.ended(), None);
}

#[test]
fn a_caller_that_reads_slowly_does_not_make_its_upstream_slow_or_fast() {
    let mut meter = EventMeter::default();
    assert!((1..=40).all(|id| meter.record(read(id, 25, 100)).is_none()));
    assert_eq!(meter.ended(), None);
}

#[test]
fn lengths_of_routes_that_are_gone_are_dropped() {
    let (kept, gone) = ("kept".parse().expect("a name"), "gone".parse().expect("a name"));
    let mut lengths = ResponseLengths::default();
    lengths.observe(&kept, 40);
    lengths.observe(&gone, 40);
    lengths.retain(|route| *route == kept);
    assert_eq!(lengths.events(&kept, 100), Some(40.0));
    assert_eq!(lengths.events(&gone, 100), None);
}
