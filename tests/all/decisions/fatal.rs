//! Attribution of upstream crashes to requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use stallhoist_core::CrashSubject;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::Exposure;
use stallhoist_policy::fatal::FatalConfig;
use stallhoist_policy::fatal::FatalRecord;
use stallhoist_policy::fatal::FatalSubjects;
use stallhoist_policy::fatal::ResponsePhase;

use super::at_ms;
use super::later;

/// A request. Each number stands for a different one.
fn request(n: u32) -> CrashSubject {
    fingerprint(n).into()
}

fn fingerprint(n: u32) -> RequestFingerprint {
    RequestFingerprint::of("POST", "/x", "workspace-1", &n.to_be_bytes())
}

/// What an upstream was given with a request whose prompt has no parts.
fn exposure(broke_at_ms: u64, n: u32) -> Exposure {
    Exposure {
        request: fingerprint(n),
        parts: Arc::default(),
        broke_at: at_ms(broke_at_ms),
        phase: ResponsePhase::Awaited,
        is_trial: false,
    }
}

const FATAL: u32 = 1;
const OTHER_FATAL: u32 = 2;
const BYSTANDER: u32 = 9;

/// The tracked requests after crashes: pairs of a request and an upstream.
fn after(crashes: &[(u32, u64)]) -> FatalSubjects {
    let mut requests = FatalSubjects::default();
    for (n, upstream) in crashes {
        requests.record_crash(at_ms(0), &exposure(0, *n), UpstreamKey(*upstream));
    }
    requests
}

fn disposition(requests: &FatalSubjects, n: u32) -> Disposition {
    requests.disposition(at_ms(1), request(n))
}

fn is_held(requests: &FatalSubjects, n: u32) -> bool {
    matches!(disposition(requests, n), Disposition::HeldBack { .. })
}

fn record(tries: u32) -> FatalRecord {
    FatalRecord { tries, ends: 3 }
}

/// A request that is quarantined in the store, after so many trials.
fn stored(tries: u32) -> FatalSubjects {
    let mut requests = FatalSubjects::default();
    requests.stored(at_ms(0), request(FATAL), StoreVersion::of(7), record(tries));
    requests
}

#[test]
fn a_request_under_which_nothing_ended_is_free() {
    assert_eq!(disposition(&FatalSubjects::default(), FATAL), Disposition::Free);
}

#[test]
fn the_third_end_holds_a_request_back() {
    assert_eq!(disposition(&after(&[(FATAL, 1), (FATAL, 2)]), FATAL), Disposition::Suspect);
    assert!(is_held(&after(&[(FATAL, 1), (FATAL, 2), (FATAL, 3)]), FATAL));
}

// The store lost an acknowledged record; no other gateway knows of the quarantine.
#[test]
fn a_request_is_stored_again_when_the_store_has_come_back_without_it() {
    let mut requests = stored(1);
    requests.retain_stored(at_ms(10), later(3), &BTreeSet::new());
    assert!(is_held(&requests, FATAL));
    let changes = requests.changes(at_ms(1_000), Duration::from_millis(500));
    let (of, change) = changes[0];
    assert_eq!((of, change.expected), (request(FATAL), None));
    assert_eq!(change.record.map(|record| record.tries), Some(1));
}

#[test]
fn a_request_whose_row_was_removed_is_not_held_back_any_more() {
    let mut requests = stored(1);
    requests.retain_stored(at_ms(10), StoreVersion::of(9), &BTreeSet::new());
    assert!(!is_held(&requests, FATAL));
}

#[test]
fn the_same_end_counts_once() {
    let requests = after(&[(FATAL, 1), (FATAL, 1), (FATAL, 1), (FATAL, 2)]);
    assert_eq!(disposition(&requests, FATAL), Disposition::Suspect);
}

#[test]
fn what_ran_beside_a_fatal_request_twice_is_not_held_back() {
    let ends = [(FATAL, 1), (BYSTANDER, 1), (FATAL, 2), (BYSTANDER, 2), (FATAL, 3)];
    let requests = after(&ends);
    assert!(is_held(&requests, FATAL));
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Suspect);
}

#[test]
fn ends_that_others_explain_do_not_hold_a_request_back() {
    let fatal = [1, 2, 3, 4].map(|upstream| (FATAL, upstream));
    let other = [5, 6, 7, 8].map(|upstream| (OTHER_FATAL, upstream));
    let beside = [1, 2, 5].map(|upstream| (BYSTANDER, upstream));
    let requests = after(&[&fatal[..], &other, &beside].concat());
    assert!(is_held(&requests, FATAL) && is_held(&requests, OTHER_FATAL));
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Suspect);
}

// The result must not depend on the order of updates. Here all crashes of the bystander come first.
#[test]
fn a_request_is_let_go_when_another_one_explains_its_ends() {
    let mut requests = after(&[1, 2, 3].map(|upstream| (BYSTANDER, upstream)));
    assert!(is_held(&requests, BYSTANDER));
    for upstream in 1..=4 {
        requests.apply_peer_update(at_ms(1), [update(FATAL, upstream, false)]);
    }
    assert!(is_held(&requests, FATAL));
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Suspect);
}

#[test]
fn a_second_fatal_request_is_held_back_at_its_first_end_of_its_own() {
    let fatal = [1, 2, 3, 4].map(|upstream| (FATAL, upstream));
    let mut requests = after(&[&fatal[..], &[(OTHER_FATAL, 1), (OTHER_FATAL, 2)]].concat());
    assert_eq!(disposition(&requests, OTHER_FATAL), Disposition::Suspect);
    requests.record_crash(at_ms(1), &exposure(1, OTHER_FATAL), UpstreamKey(5));
    assert!(is_held(&requests, OTHER_FATAL));
}

#[test]
fn a_whole_answer_clears_a_request() {
    let mut requests = after(&[1, 2, 3].map(|upstream| (BYSTANDER, upstream)));
    assert!(requests.answered(at_ms(1), request(BYSTANDER)));
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Free);
    // Peers still publish the crashes, which are known.
    assert_eq!(requests.apply_peer_update(at_ms(2), [update(BYSTANDER, 3, false)]), 0);
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Free);
    requests.record_crash(at_ms(3), &exposure(3, BYSTANDER), UpstreamKey(4));
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Suspect);
}

#[test]
fn a_whole_answer_elsewhere_clears_a_request_here() {
    let mut requests = after(&[1, 2, 3].map(|upstream| (BYSTANDER, upstream)));
    for upstream in 1..=3 {
        assert_eq!(requests.apply_peer_update(at_ms(1), [update(BYSTANDER, upstream, true)]), 1);
    }
    assert_eq!(disposition(&requests, BYSTANDER), Disposition::Free);
}

// A peer publishes a crash that was cleared long ago to a gateway that has just read the row.
#[test]
fn an_end_that_does_not_count_clears_nothing_that_is_known_by_its_row() {
    let mut requests = stored(0);
    assert_eq!(requests.apply_peer_update(at_ms(1), [update(FATAL, 1, true)]), 1);
    assert!(matches!(requests.disposition(at_ms(2), request(FATAL)), Disposition::HeldBack { .. }));
}

#[test]
fn it_is_tried_again_only_when_the_store_counts_it() {
    let later = at_ms(60_000);
    let mut requests = after(&[1, 2, 3].map(|upstream| (FATAL, upstream)));
    assert!(matches!(requests.disposition(later, request(FATAL)), Disposition::HeldBack { .. }));
    assert!(requests.begin_trial(later, request(FATAL)).is_none());
    requests.stored(later, request(FATAL), StoreVersion::of(7), record(0));
    assert!(requests.begin_trial(later, request(FATAL)).is_none(), "it was stored just now");
    let change = requests.begin_trial(at_ms(65_000), request(FATAL)).expect("it is due");
    assert_eq!(change.expected, Some(StoreVersion::of(7)));
    assert_eq!(change.record.map(|record| record.tries), Some(1));
}

#[test]
fn one_try_at_a_time() {
    let mut requests = stored(0);
    assert!(requests.begin_trial(at_ms(5_000), request(FATAL)).is_some());
    assert!(requests.begin_trial(at_ms(5_001), request(FATAL)).is_none());
    requests.end_trial(at_ms(6_000), request(FATAL));
    assert!(requests.begin_trial(at_ms(10_999), request(FATAL)).is_none());
    assert!(requests.begin_trial(at_ms(11_000), request(FATAL)).is_some());
}

#[test]
fn it_is_tried_twice_in_all() {
    assert!(stored(1).begin_trial(at_ms(5_000), request(FATAL)).is_some());
    let mut requests = stored(2);
    assert!(requests.begin_trial(at_ms(500_000), request(FATAL)).is_none());
    assert_eq!(disposition(&requests, FATAL), Disposition::HeldBack { due: None });
}

#[test]
fn an_end_at_a_try_holds_a_request_back_for_good() {
    let mut requests = stored(0);
    requests.begin_trial(at_ms(5_000), request(FATAL)).expect("it is due");
    requests.record_crash(at_ms(5_100), &exposure(5_100, FATAL), UpstreamKey(4));
    requests.end_trial(at_ms(5_200), request(FATAL));
    assert_eq!(
        requests.disposition(at_ms(500_000), request(FATAL)),
        Disposition::HeldBack { due: None }
    );
    let changes = requests.changes(at_ms(5_300), Duration::ZERO);
    let tries = changes[0].1.record.expect("a record").tries;
    assert_eq!(tries, FatalConfig::default().max_trials);
}

// The row that counts the trial is read after the crash of the trial's upstream.
#[test]
fn a_row_that_comes_late_does_not_allow_another_try() {
    let mut requests = stored(0);
    requests.begin_trial(at_ms(5_000), request(FATAL)).expect("it is due");
    requests.record_crash(at_ms(5_100), &exposure(5_100, FATAL), UpstreamKey(4));
    requests.end_trial(at_ms(5_200), request(FATAL));
    requests.stored(at_ms(5_300), request(FATAL), StoreVersion::of(8), record(1));
    assert_eq!(
        requests.disposition(at_ms(500_000), request(FATAL)),
        Disposition::HeldBack { due: None }
    );
    assert_eq!(requests.changes(at_ms(5_400), Duration::ZERO).len(), 1);
}

#[test]
fn a_whole_answer_at_a_try_removes_the_row() {
    let mut requests = stored(0);
    requests.begin_trial(at_ms(5_000), request(FATAL)).expect("it is due");
    requests.stored(at_ms(5_010), request(FATAL), StoreVersion::of(8), record(1));
    assert!(requests.answered(at_ms(5_100), request(FATAL)));
    let changes = requests.changes(at_ms(5_200), Duration::ZERO);
    assert_eq!(changes[0].1.expected, Some(StoreVersion::of(8)));
    assert_eq!(changes[0].1.record, None);
    // A late read of the removed row does not quarantine the request again.
    requests.stored(at_ms(5_300), request(FATAL), StoreVersion::of(8), record(1));
    assert_eq!(requests.disposition(at_ms(5_301), request(FATAL)), Disposition::Free);
}

#[test]
fn an_entry_that_reads_the_row_holds_a_request_back_until_it_is_removed() {
    let mut requests = stored(0);
    assert!(is_held(&requests, FATAL));
    requests.unstored(at_ms(2), request(FATAL));
    assert_eq!(requests.disposition(at_ms(3), request(FATAL)), Disposition::Free);
}

#[test]
fn the_store_is_told_once_news_could_have_explained_it() {
    let settled = Duration::from_millis(500);
    let requests = after(&[1, 2, 3].map(|upstream| (FATAL, upstream)));
    assert!(requests.changes(at_ms(499), settled).is_empty());
    let changes = requests.changes(at_ms(500), settled);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].0, changes[0].1.expected), (request(FATAL), None));
}

#[test]
fn what_is_held_back_is_never_forgotten_for_others() {
    let config = FatalConfig { max_subjects: 4, ..FatalConfig::default() };
    let mut requests = FatalSubjects::new(config);
    for upstream in 1..=3 {
        requests.record_crash(at_ms(0), &exposure(0, FATAL), UpstreamKey(upstream));
    }
    for n in 100..200 {
        requests.record_crash(
            at_ms(u64::from(n)),
            &exposure(u64::from(n), n),
            UpstreamKey(u64::from(n)),
        );
    }
    assert!(is_held(&requests, FATAL));
    assert_eq!(disposition(&requests, 100), Disposition::Free);
    assert_eq!(disposition(&requests, 199), Disposition::Suspect);
}

#[test]
fn ends_that_come_rarely_count_for_a_day() {
    let mut requests = after(&[(FATAL, 1)]);
    requests.expire(at_ms(86_399_000));
    assert_eq!(disposition(&requests, FATAL), Disposition::Suspect);
    requests.expire(at_ms(86_400_000));
    assert!(requests.is_empty());
}

#[test]
fn others_are_told_for_a_while_and_an_entry_that_starts_at_any_time() {
    let requests = after(&[(FATAL, 1)]);
    assert_eq!(requests.peer_updates(at_ms(2_999)).len(), 1);
    assert_eq!(requests.peer_updates(at_ms(3_000)).len(), 0);
    assert_eq!(requests.startup_peer_updates().count(), 1);
}

fn update(n: u32, upstream: u64, is_cleared: bool) -> CrashUpdate {
    let (subject, upstream) = (request(n), UpstreamKey(upstream));
    CrashUpdate { subject, upstream, at: at_ms(0), phase: ResponsePhase::Awaited, is_cleared }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(33), ..Config::default() })]

    // Gateways receive the same updates in a different order each, some of them twice, and must reach
    // the same result: a request that one gateway sends must not be rejected by another.
    #[test]
    fn news_in_any_order_come_to_the_same(
        ends in vec((0..6_u32, 0..6_u64, any::<bool>()), 0..40),
        swaps in vec((0..40_usize, 0..40_usize), 0..40),
    ) {
        let mut shuffled = ends.clone();
        shuffled.extend(ends.iter().take(ends.len() / 2));
        for (a, b) in swaps {
            if a < shuffled.len() && b < shuffled.len() {
                shuffled.swap(a, b);
            }
        }
        let apply_all = |ends: &[(u32, u64, bool)]| {
            let mut requests = FatalSubjects::default();
            for (n, upstream, is_cleared) in ends {
                requests.apply_peer_update(at_ms(0), [update(*n, *upstream, *is_cleared)]);
            }
            (0..6).map(|n| disposition(&requests, n)).collect::<Vec<_>>()
        };
        assert_eq!(apply_all(&ends), apply_all(&shuffled));
    }
}

#[test]
fn the_same_request_has_the_same_fingerprint() {
    let of = |method, target, workspace, body: &str| {
        RequestFingerprint::of(method, target, workspace, body.as_bytes())
    };
    let own = of("POST", "/a?b", "w", "body");
    assert_eq!(own, of("POST", "/a?b", "w", "body"));
    assert_eq!(own.to_string().parse(), Ok(own));
    let others = [
        of("PUT", "/a?b", "w", "body"),
        of("POST", "/a?c", "w", "body"),
        of("POST", "/a?b", "v", "body"),
        of("POST", "/a?b", "w", "bodY"),
        of("POST", "/a?b", "w", ""),
        of("POST", "/a?bw", "", "body"),
    ];
    assert!(others.iter().all(|other| *other != own));
}

/// A request whose streams broke on three upstreams, whose terminations become known `after_ms` later.
fn broke_then_terminated(after_ms: u64) -> FatalSubjects {
    let mut requests = FatalSubjects::default();
    for upstream in 1..=3 {
        requests.record_broken_stream(at_ms(0), exposure(0, FATAL), UpstreamKey(upstream));
    }
    assert_eq!(disposition(&requests, FATAL), Disposition::Free);
    for upstream in 1..=3 {
        requests.record_termination(at_ms(after_ms), UpstreamKey(upstream));
    }
    requests
}

#[test]
fn an_end_that_shows_later_counts_as_one_that_shows_at_once() {
    assert!(matches!(
        broke_then_terminated(5_999).disposition(at_ms(6_000), request(FATAL)),
        Disposition::HeldBack { .. }
    ));
}

#[test]
fn an_end_long_after_an_answer_broke_off_is_another_matter() {
    assert_eq!(disposition(&broke_then_terminated(6_000), FATAL), Disposition::Free);
}

#[test]
fn an_end_that_shows_twice_counts_once() {
    let mut requests = FatalSubjects::default();
    requests.record_broken_stream(at_ms(0), exposure(0, FATAL), UpstreamKey(1));
    assert_eq!(requests.record_termination(at_ms(10), UpstreamKey(1)), [request(FATAL)]);
    assert!(requests.record_termination(at_ms(20), UpstreamKey(1)).is_empty());
    requests.record_broken_stream(at_ms(30), exposure(30, FATAL), UpstreamKey(1));
    assert!(requests.record_termination(at_ms(40), UpstreamKey(1)).is_empty());
}

#[test]
fn what_is_open_is_forgotten_after_a_while() {
    let mut requests = FatalSubjects::default();
    requests.record_broken_stream(at_ms(0), exposure(0, FATAL), UpstreamKey(1));
    requests.expire(at_ms(5_999));
    assert!(requests.has_unexplained_broken_streams());
    requests.expire(at_ms(6_000));
    assert!(!requests.has_unexplained_broken_streams());
}
