//! Comparison of the store era of responses with the known one.

use std::time::Duration;

use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_gateway::era_tracker::EraComparison;
use stallhoist_gateway::era_tracker::EraTracker;

use super::at_ms;

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(era), number }
}

/// Asserts the result of the last of these whole reads, one per second.
macro_rules! last_read_is {
    ($name:ident, $reads:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let mut tracker = EraTracker::default();
            let reads: &[StoreVersion] = &$reads;
            let results = (0..)
                .zip(reads)
                .map(|(s, version)| tracker.record_read(at_ms(1_000 * s), *version));
            assert_eq!(results.last(), Some($expected));
        }
    };
}

last_read_is!(the_first_version_is_current, [version(7, 3)], EraComparison::Current);
last_read_is!(
    an_older_version_of_the_same_era_is_current,
    [version(7, 3), version(7, 2)],
    EraComparison::Current
);
last_read_is!(
    a_restored_store_is_advanced,
    [version(7, 9), version(8, 2)],
    EraComparison::Advanced(version(7, 9))
);
last_read_is!(
    a_store_restored_twice_is_advanced,
    [version(0, 9), version(2, 1)],
    EraComparison::Advanced(version(0, 9))
);
last_read_is!(
    a_later_read_of_the_new_era_is_current,
    [version(7, 9), version(8, 2), version(8, 1)],
    EraComparison::Current
);
last_read_is!(
    a_read_of_an_earlier_era_is_stale,
    [version(7, 9), version(8, 2), version(7, 10)],
    EraComparison::Stale(version(8, 2))
);

#[test]
fn an_earlier_era_that_persists_is_accepted() {
    let mut tracker = EraTracker::default();
    tracker.record_read(at_ms(0), version(8, 2));
    assert_eq!(
        tracker.record_read(at_ms(1_000), version(0, 5)),
        EraComparison::Stale(version(8, 2))
    );
    assert_eq!(
        tracker.record_read(at_ms(10_999), version(0, 5)),
        EraComparison::Stale(version(8, 2))
    );
    assert_eq!(
        tracker.record_read(at_ms(11_000), version(0, 5)),
        EraComparison::Reverted(version(8, 2))
    );
    assert_eq!(tracker.record_read(at_ms(11_001), version(0, 6)), EraComparison::Current);
}

#[test]
fn a_read_of_the_current_era_restarts_the_stale_period() {
    let mut tracker = EraTracker::default();
    tracker.record_read(at_ms(0), version(8, 2));
    tracker.record_read(at_ms(1_000), version(7, 5));
    tracker.record_read(at_ms(2_000), version(8, 3));
    assert_eq!(
        tracker.record_read(at_ms(12_000), version(7, 5)),
        EraComparison::Stale(version(8, 3))
    );
}

#[test]
fn the_grace_period_ends() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.grace_left(at_ms(0)), None);
    tracker.begin_grace(at_ms(0), Duration::from_secs(5));
    assert_eq!(tracker.grace_left(at_ms(4_000)), Some(Duration::from_secs(1)));
    assert_eq!(tracker.grace_left(at_ms(5_000)), None);
}
