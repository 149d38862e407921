//! Whether a request may be retried, and whether it may have run.

use stallhoist_policy::retry::RequestProgress;
use stallhoist_policy::retry::RequestRules;

/// An event of a request.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// An attempt failed and may have run.
    Failed,
    /// An attempt was proved not to have run.
    ProvedNotRun,
    /// The upstream crashed while running an attempt.
    Ended,
    /// A part of the response was sent to the caller.
    Delivered,
}
use Event::Delivered;
use Event::Ended;
use Event::Failed;
use Event::ProvedNotRun;

const REPEATABLE: RequestRules = RequestRules {
    is_repeatable: true,
    is_resumable: false,
    max_attempts: 3,
    max_connect_failures: 2,
};
const RESUMABLE: RequestRules = RequestRules { is_resumable: true, ..REPEATABLE };
const AT_MOST_ONCE: RequestRules = RequestRules { is_repeatable: false, ..REPEATABLE };

fn after(rules: RequestRules, events: &[Event]) -> RequestProgress {
    let mut progress = RequestProgress::new(rules);
    for event in events {
        match event {
            Failed => progress.sent(),
            ProvedNotRun => {
                progress.sent();
                progress.proved_not_run();
            }
            Ended => {
                progress.sent();
                progress.upstream_ended();
            }
            Delivered => progress.delivered(),
        }
    }
    progress
}

/// A name, the rules, the events, whether the request may be retried, and whether it may have
/// run.
macro_rules! progress_case {
    ($name:ident, $rules:expr, $events:expr, $may_retry:expr, $may_have_run:expr) => {
        #[test]
        fn $name() {
            let progress = after($rules, &$events);
            assert_eq!(progress.may_retry(true, || true), $may_retry, "{progress:?}");
            assert_eq!(progress.may_have_run(), $may_have_run, "{progress:?}");
        }
    };
}

progress_case!(a_failed_repeatable_request, REPEATABLE, [Failed], true, true);
progress_case!(the_last_attempt, REPEATABLE, [Failed, Failed, Failed], false, true);
progress_case!(
    crashed_upstreams_do_not_count,
    REPEATABLE,
    [Ended, Ended, Ended, Failed],
    true,
    true
);
progress_case!(
    up_to_three_crashes_are_not_counted,
    REPEATABLE,
    [Ended, Ended, Ended, Ended, Failed, Failed],
    false,
    true
);
progress_case!(a_crashed_upstream_may_have_run_it, AT_MOST_ONCE, [Ended], false, true);
progress_case!(
    rejected_by_all_attempts,
    REPEATABLE,
    [ProvedNotRun, ProvedNotRun, ProvedNotRun],
    false,
    false
);
progress_case!(rejected_after_a_failure, REPEATABLE, [Failed, ProvedNotRun], true, true);
progress_case!(a_failed_at_most_once_request, AT_MOST_ONCE, [Failed], false, true);
progress_case!(
    a_rejected_at_most_once_request,
    AT_MOST_ONCE,
    [ProvedNotRun, ProvedNotRun],
    true,
    false
);
progress_case!(
    an_at_most_once_request_fails_after_a_rejection,
    AT_MOST_ONCE,
    [ProvedNotRun, Failed],
    false,
    true
);
progress_case!(
    a_partly_delivered_response_is_not_restarted,
    REPEATABLE,
    [Failed, Delivered],
    false,
    true
);
progress_case!(a_partly_delivered_response_is_resumed, RESUMABLE, [Failed, Delivered], true, true);

/// A name, the rules, the events, and whether the next attempt is the last.
macro_rules! last_attempt {
    ($name:ident, $rules:expr, $events:expr, $is_last:expr) => {
        #[test]
        fn $name() {
            assert_eq!(after($rules, &$events).is_next_last(), $is_last);
        }
    };
}

last_attempt!(the_first_of_three_attempts, REPEATABLE, [], false);
last_attempt!(the_third_of_three_attempts, REPEATABLE, [Failed, Failed], true);
last_attempt!(the_first_attempt_of_a_request_that_may_run_once, AT_MOST_ONCE, [], true);

#[test]
fn a_proof_counts_once_per_attempt() {
    let mut progress = after(REPEATABLE, &[Failed, ProvedNotRun]);
    progress.proved_not_run();
    assert!(progress.may_have_run(), "the first attempt may still have run");
}

#[test]
fn failed_connections_are_not_attempts_and_are_bounded() {
    let mut progress = RequestProgress::new(AT_MOST_ONCE);
    assert!(progress.connect_failed());
    assert!(!progress.connect_failed());
    assert_eq!(progress.attempts(), 0);
    assert!(!progress.may_have_run());
}

#[test]
fn the_budget_is_used_only_for_allowed_retries_with_a_cost() {
    let progress = after(REPEATABLE, &[Failed]);
    assert!(!progress.may_retry(true, || false));
    assert!(progress.may_retry(false, || panic!("the retry has no cost")));
    let used_up = after(AT_MOST_ONCE, &[Failed]);
    assert!(!used_up.may_retry(true, || panic!("the retry is not allowed")));
}
