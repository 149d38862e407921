//! Which era of the store a feed is known from.

use std::time::Duration;

use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_gateway::era_tracker::EraComparison;
use stallhoist_gateway::era_tracker::EraTracker;

use super::at_ms;

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(era), number }
}

/// After these whole reads, one each second, the last of them is so.
macro_rules! last_is {
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

last_is!(the_first_is_the_known_one, [version(7, 3)], EraComparison::Current);
last_is!(an_older_one_of_the_same_era, [version(7, 3), version(7, 2)], EraComparison::Current);
last_is!(
    the_store_has_come_back,
    [version(7, 9), version(8, 2)],
    EraComparison::Advanced(version(7, 9))
);
last_is!(
    it_has_come_back_twice,
    [version(0, 9), version(2, 1)],
    EraComparison::Advanced(version(0, 9))
);
last_is!(once_it_is_known, [version(7, 9), version(8, 2), version(8, 1)], EraComparison::Current);
last_is!(
    a_late_one,
    [version(7, 9), version(8, 2), version(7, 10)],
    EraComparison::Stale(version(8, 2))
);

#[test]
fn one_that_comes_for_long_is_believed() {
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
fn a_late_one_before_one_that_is_not_does_not_count_for_the_next() {
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
fn what_is_known_goes_first_for_so_long() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.grace_left(at_ms(0)), None);
    tracker.begin_grace(at_ms(0), Duration::from_secs(5));
    assert_eq!(tracker.grace_left(at_ms(4_000)), Some(Duration::from_secs(1)));
    assert_eq!(tracker.grace_left(at_ms(5_000)), None);
}
