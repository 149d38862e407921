//! Rollouts of services with so few requests that a new version gives few responses in the ordered time.

use super::rollout_model::End;
use super::rollout_model::NewVersion;
use super::rollout_model::Service;
use super::rollout_model::play;

const GOOD: NewVersion = NewVersion::GOOD;

const SEEDS: u64 = 200;

/// One route often fails on any version, as some of its requests do so by themselves.
const SMALL_SERVICE: Service = Service {
    requests_per_s: 12.0,
    first_route_share: 0.45,
    failure_rates: [0.14, 0.004],
    ordered_ms: 16_000,
};

fn ends(service: Service, new: NewVersion) -> Vec<End> {
    (0..SEEDS).map(|seed| play(service, new, seed)).collect()
}

fn completed(ends: &[End]) -> usize {
    ends.iter().filter(|end| end.is_completed()).count()
}

/// Checks that a bad version is completed in no more than one of a hundred rollouts, and never gets more
/// requests than it may.
fn check_is_not_completed(service: Service, bad: NewVersion) {
    let ends = ends(service, bad);
    assert!(completed(&ends) <= 2, "{} of {SEEDS}", completed(&ends));
    for end in ends {
        assert!(end.excess() <= 0.0, "{end:?}");
    }
}

#[test]
fn a_bad_version_is_not_completed_for_want_of_answers() {
    check_is_not_completed(SMALL_SERVICE, NewVersion { failures: 0.3, ..GOOD });
}

/// Checks one kind of badness.
macro_rules! is_not_completed {
    ($name:ident, $bad:expr) => {
        #[test]
        fn $name() {
            check_is_not_completed(SMALL_SERVICE, $bad);
        }
    };
}

is_not_completed!(a_version_that_fails_half, NewVersion { failures: 0.5, ..GOOD });
is_not_completed!(a_version_that_turns_bad, NewVersion { failures: 0.5, since_ms: 5_000, ..GOOD });
is_not_completed!(
    a_version_that_fails_on_one_route,
    NewVersion { failures: 0.5, is_on_one_route: true, ..GOOD }
);
is_not_completed!(a_version_three_times_as_slow, NewVersion { slowdown: 3.0, ..GOOD });

/// Checks that a good version is completed in nine of ten rollouts.
macro_rules! a_good_version_is_completed {
    ($name:ident, $service:expr) => {
        #[test]
        fn $name() {
            let completed = completed(&ends($service, GOOD));
            assert!(completed >= 180, "{completed} of {SEEDS}");
        }
    };
}

a_good_version_is_completed!(a_good_version_of_a_small_service, SMALL_SERVICE);
a_good_version_is_completed!(
    a_good_version_with_more_time,
    Service { ordered_ms: 26_000, ..SMALL_SERVICE }
);
a_good_version_is_completed!(
    a_good_version_without_any_requests,
    Service { requests_per_s: 0.0, ..SMALL_SERVICE }
);
a_good_version_is_completed!(
    a_good_version_of_a_larger_service,
    Service { requests_per_s: 100.0, ..SMALL_SERVICE }
);
