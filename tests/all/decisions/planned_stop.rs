//! What an entry that was told to stop still takes.

use std::time::Duration;

use stallhoist_gateway::planned_stop::PlannedStop;

use super::at_ms;

/// Asked for at 10 s with 8 s of grace: whether a stream and a call are taken then.
macro_rules! takes {
    ($name:ident, $at_ms:expr, $stream:expr, $call:expr) => {
        #[test]
        fn $name() {
            let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
            let taken = (stop.takes(at_ms($at_ms), true), stop.takes(at_ms($at_ms), false));
            assert_eq!(taken, ($stream, $call));
        }
    };
}

takes!(at_once, 10_000, true, true);
takes!(while_the_platform_may_not_know, 12_799, true, true);
takes!(no_stream_that_might_be_cut, 12_800, false, true);
takes!(calls_almost_to_the_end, 16_299, false, true);
takes!(nothing_at_the_end, 16_300, false, false);

#[test]
fn it_ends_before_it_is_killed() {
    let stop = PlannedStop::new(at_ms(10_000), Duration::from_secs(8));
    assert_eq!(stop.end(), at_ms(17_800));
}

#[test]
fn a_short_grace_takes_nothing_it_cannot_finish() {
    let stop = PlannedStop::new(at_ms(0), Duration::from_millis(1_000));
    assert!(!stop.takes(at_ms(0), false));
    assert_eq!(stop.end(), at_ms(800));
}
