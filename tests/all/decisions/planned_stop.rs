//! What an entry that was told to stop still takes.

use std::time::Duration;

use stallhoist_gateway::planned_stop::PlannedStop;
use stallhoist_gateway::planned_stop::ResponseShape;

use super::at_ms;

const LONG: ResponseShape = ResponseShape::Stream { max_tokens: Some(1_000) };
const SHORT: ResponseShape = ResponseShape::Stream { max_tokens: Some(80) };
const UNKNOWN: ResponseShape = ResponseShape::Stream { max_tokens: None };

/// Asked for at 10 s with 8 s of grace: whether this is taken then.
macro_rules! accepts {
    ($name:ident, $at_ms:expr, $work:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
            assert_eq!(stop.accepts(at_ms($at_ms), $work), $expected);
        }
    };
}

accepts!(a_long_stream_at_once, 10_000, LONG, true);
accepts!(a_long_stream_while_the_platform_may_not_know, 12_799, LONG, true);
accepts!(no_stream_that_might_be_cut, 12_800, LONG, false);
accepts!(no_stream_of_unknown_length, 12_800, UNKNOWN, false);
accepts!(a_short_stream_that_will_end, 13_199, SHORT, true);
accepts!(a_short_stream_that_might_not, 13_200, SHORT, false);
accepts!(a_call_almost_to_the_end, 16_299, ResponseShape::Call, true);
accepts!(no_call_at_the_end, 16_300, ResponseShape::Call, false);

#[test]
fn it_ends_before_it_is_killed() {
    let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
    assert_eq!(stop.end(), at_ms(17_800));
}

#[test]
fn a_short_grace_takes_nothing_it_cannot_finish() {
    let stop = PlannedStop::new(at_ms(0), Duration::from_millis(1_000));
    assert!(!stop.accepts(at_ms(900), ResponseShape::Call));
    assert_eq!(stop.end(), at_ms(800));
}
