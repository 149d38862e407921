//! Which requests a stopping gateway still accepts.

use std::time::Duration;

use stallhoist_gateway::planned_stop::PlannedStop;
use stallhoist_gateway::planned_stop::ResponseShape;

use super::at_ms;

const LONG: ResponseShape = ResponseShape::Stream { max_tokens: Some(1_000) };
const SHORT: ResponseShape = ResponseShape::Stream { max_tokens: Some(80) };
const UNKNOWN: ResponseShape = ResponseShape::Stream { max_tokens: None };

/// Asserts whether a request is accepted at a time, after a stop requested at 10 s with 8 s of
/// grace.
macro_rules! accepts {
    ($name:ident, $at_ms:expr, $shape:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
            assert_eq!(stop.accepts(at_ms($at_ms), $shape), $expected);
        }
    };
}

accepts!(a_long_stream_at_once, 10_000, LONG, true);
accepts!(a_long_stream_while_callers_may_still_arrive, 12_799, LONG, true);
accepts!(no_stream_that_might_be_cut_off, 12_800, LONG, false);
accepts!(no_stream_of_unknown_length, 12_800, UNKNOWN, false);
accepts!(a_short_stream_that_will_complete, 13_199, SHORT, true);
accepts!(a_short_stream_that_might_not, 13_200, SHORT, false);
accepts!(a_call_almost_until_the_end, 16_299, ResponseShape::Call, true);
accepts!(no_call_at_the_end, 16_300, ResponseShape::Call, false);

#[test]
fn the_process_ends_before_the_kill() {
    let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
    assert_eq!(stop.end(), at_ms(17_800));
}

#[test]
fn a_short_grace_accepts_nothing_that_cannot_complete() {
    let stop = PlannedStop::new(at_ms(0), Duration::from_millis(1_000));
    assert!(!stop.accepts(at_ms(900), ResponseShape::Call));
    assert_eq!(stop.end(), at_ms(800));
}
