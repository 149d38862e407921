//! Attribution of upstream crashes to parts of prompts.

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use stallhoist_core::CrashSubject;
use stallhoist_core::PartFingerprint;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::ServiceName;
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

const FATAL: u64 = 0xdead;
const OTHER_FATAL: u64 = 0xdeaf;
const COMMON: u64 = 0xa1;
const SOUND: u64 = 0xbeef;

/// The longest time in which a gateway remembers that a part is sound.
const MEMORY_MS: u64 = 60_000;

fn part(id: u64) -> PartFingerprint {
    PartFingerprint { service: 1, part: id }
}

/// One request, and the upstream that crashed while it ran.
struct Broken<'a> {
    at_ms: u64,
    upstream: u64,
    parts: &'a [u64],
    phase: ResponsePhase,
}

/// The crash of an upstream that had just begun a response, at a time of its own.
fn begun(number: u64, parts: &[u64]) -> Broken<'_> {
    Broken { at_ms: 1_000 * number, upstream: number, parts, phase: ResponsePhase::Begun }
}

/// The same with a response in this phase.
fn broken_in(phase: ResponsePhase, number: u64, parts: &[u64]) -> Broken<'_> {
    Broken { phase, ..begun(number, parts) }
}

fn exposure(broken: &Broken<'_>) -> Exposure {
    let own = format!("{} {} {:?}", broken.at_ms, broken.upstream, broken.parts);
    Exposure {
        request: RequestFingerprint::of("POST", "/x", "workspace-1", own.as_bytes()),
        parts: broken.parts.iter().copied().map(part).collect(),
        broke_at: at_ms(broken.at_ms),
        phase: broken.phase,
        is_trial: false,
    }
}

fn record(subjects: &mut FatalSubjects, broken: &Broken<'_>) {
    let upstream = UpstreamKey(broken.upstream);
    subjects.record_crash(at_ms(broken.at_ms), &exposure(broken), upstream);
}

/// The tracked subjects after these crashes. No two requests are alike.
fn after<'a>(all: impl IntoIterator<Item = Broken<'a>>) -> FatalSubjects {
    let mut subjects = FatalSubjects::default();
    all.into_iter().for_each(|broken| record(&mut subjects, &broken));
    subjects
}

fn survive(subjects: &mut FatalSubjects, now_ms: u64, parts: &[u64]) {
    let parts: Vec<_> = parts.iter().copied().map(part).collect();
    subjects.survived(at_ms(now_ms), &parts);
}

fn is_held(subjects: &FatalSubjects, id: u64) -> bool {
    let disposition = subjects.disposition(at_ms(20_000), part(id).into());
    matches!(disposition, Disposition::HeldBack { .. })
}

#[test]
fn a_part_that_crashed_three_upstreams_is_held_back_though_no_two_requests_are_alike() {
    let crash = |n| begun(n, &[FATAL]);
    assert!(!is_held(&after((1..=2).map(crash)), FATAL));
    assert!(is_held(&after((1..=3).map(crash)), FATAL));
}

// Crashes before the head of the response prove less, as much else waits there.
#[test]
fn a_part_that_crashes_upstreams_before_they_respond_is_held_back_after_six() {
    let crash = |n| broken_in(ResponsePhase::Awaited, n, &[FATAL]);
    assert!(!is_held(&after((1..=5).map(crash)), FATAL));
    assert!(is_held(&after((1..=6).map(crash)), FATAL));
}

#[test]
fn a_part_whose_responses_go_well_elsewhere_is_not_held_back() {
    let mut subjects = FatalSubjects::default();
    for n in 1..=8 {
        record(&mut subjects, &begun(n, &[COMMON, FATAL]));
        survive(&mut subjects, 1_000 * n + 500, &[COMMON]);
    }
    assert!(is_held(&subjects, FATAL));
    assert!(!is_held(&subjects, COMMON));
}

// Of two parts that were always on the same upstreams, the one that has gone well before is not the cause.
#[test]
fn a_part_that_is_known_to_be_sound_takes_twice_the_evidence() {
    let mut subjects = FatalSubjects::default();
    survive(&mut subjects, 0, &[COMMON]);
    for n in 1..=5 {
        record(&mut subjects, &begun(n, &[COMMON, FATAL]));
    }
    assert!(is_held(&subjects, FATAL));
    assert!(!is_held(&subjects, COMMON));
    record(&mut subjects, &begun(6, &[COMMON]));
    assert!(!is_held(&subjects, COMMON), "five of its crashes are explained");
}

#[test]
fn a_part_that_turns_fatal_is_held_back() {
    let mut subjects = FatalSubjects::default();
    survive(&mut subjects, 0, &[FATAL]);
    (1..=5).for_each(|n| record(&mut subjects, &begun(n, &[FATAL])));
    assert!(!is_held(&subjects, FATAL));
    record(&mut subjects, &begun(6, &[FATAL]));
    assert!(is_held(&subjects, FATAL));
}

#[test]
fn that_a_part_was_sound_is_forgotten_after_a_while() {
    let mut subjects = FatalSubjects::default();
    survive(&mut subjects, 0, &[FATAL]);
    for n in 1..=3 {
        let at_ms = MEMORY_MS + 1_000 * n;
        record(&mut subjects, &Broken { at_ms, ..begun(n, &[FATAL]) });
    }
    assert!(is_held(&subjects, FATAL));
}

// A rack, or all upstreams, are lost for another reason; a common part was on each of them.
#[test]
fn upstreams_that_crash_at_once_hold_no_part_back() {
    let at_once = |n| Broken { at_ms: 1_000 + n, ..begun(n, &[COMMON]) };
    assert!(!is_held(&after((1..=30).map(at_once)), COMMON));
}

#[test]
fn what_waited_at_an_upstream_that_had_begun_another_response_is_not_held_back() {
    let crashes =
        (1..=12).flat_map(|n| [begun(n, &[FATAL]), broken_in(ResponsePhase::Awaited, n, &[SOUND])]);
    let subjects = after(crashes);
    assert!(is_held(&subjects, FATAL));
    assert!(!is_held(&subjects, SOUND));
}

#[test]
fn the_parts_of_a_response_that_was_written_for_a_while_are_no_suspects() {
    let crashes = (1..=12).map(|n| broken_in(ResponsePhase::Written, n, &[SOUND]));
    let subjects = after(crashes);
    assert_eq!(subjects.disposition(at_ms(20_000), part(SOUND).into()), Disposition::Free);
}

// The same request, sent again and again: its parts may be sound in others.
#[test]
fn a_fatal_request_explains_the_crashes_of_its_parts() {
    let mut subjects = FatalSubjects::default();
    let request = Exposure { broke_at: at_ms(1), ..exposure(&begun(0, &[SOUND])) };
    for n in 1..=3 {
        let exposure = Exposure { broke_at: at_ms(1_000 * n), ..request.clone() };
        subjects.record_crash(at_ms(1_000 * n), &exposure, UpstreamKey(n));
    }
    let request = subjects.disposition(at_ms(4_000), request.request.into());
    assert!(matches!(request, Disposition::HeldBack { .. }));
    assert!(!is_held(&subjects, SOUND));
}

// Each of both was on the upstreams that the other one crashed, too.
#[test]
fn two_fatal_parts_at_once_are_both_held_back() {
    let crashes = (1..=8).flat_map(|n| {
        let (cause, beside) = if n % 2 == 0 { (FATAL, OTHER_FATAL) } else { (OTHER_FATAL, FATAL) };
        let phase = ResponsePhase::Begun;
        [
            Broken { at_ms: 1_000 * n, upstream: n, parts: &[cause], phase },
            Broken {
                at_ms: 1_000 * n,
                upstream: n,
                parts: &[beside],
                phase: ResponsePhase::Awaited,
            },
        ]
        .map(|broken| (broken.at_ms, broken.upstream, broken.parts.to_vec(), broken.phase))
    });
    let mut subjects = FatalSubjects::default();
    for (at_ms, upstream, parts, phase) in crashes {
        record(&mut subjects, &Broken { at_ms, upstream, parts: &parts, phase });
    }
    assert!(is_held(&subjects, FATAL) && is_held(&subjects, OTHER_FATAL));
}

#[test]
fn a_part_that_never_comes_alone_is_held_back_with_the_cause_and_let_go_by_its_trial() {
    let mut subjects = after((1..=3).map(|n| begun(n, &[FATAL, SOUND])));
    assert!(is_held(&subjects, FATAL) && is_held(&subjects, SOUND));
    let sound = CrashSubject::from(part(SOUND));
    let row = FatalRecord { tries: 0, ends: 3 };
    subjects.stored(at_ms(4_000), sound, StoreVersion::of(7), row);
    assert!(subjects.begin_trial(at_ms(30_000), sound).is_some());
    survive(&mut subjects, 30_600, &[SOUND]);
    assert_eq!(subjects.disposition(at_ms(30_700), sound), Disposition::Free);
    assert!(is_held(&subjects, FATAL));
}

/// A part on trial whose upstream crashed, with the trial's response in this phase.
fn tried(phase: ResponsePhase, is_trial: bool) -> Disposition {
    let mut subjects = FatalSubjects::default();
    let subject = CrashSubject::from(part(FATAL));
    let row = FatalRecord { tries: 0, ends: 3 };
    subjects.stored(at_ms(0), subject, StoreVersion::of(7), row);
    subjects.begin_trial(at_ms(5_000), subject).expect("it is due");
    let exposure = Exposure { is_trial, ..exposure(&broken_in(phase, 6, &[FATAL])) };
    subjects.record_crash(at_ms(6_000), &exposure, UpstreamKey(6));
    subjects.end_trial(at_ms(6_000), subject);
    subjects.disposition(at_ms(60_000), subject)
}

#[test]
fn a_crash_at_its_trial_holds_a_part_back_for_good() {
    assert_eq!(tried(ResponsePhase::Begun, true), Disposition::HeldBack { due: None });
}

// The trial may have waited at an upstream that another request crashed.
#[test]
fn a_crash_while_the_trial_waited_proves_nothing() {
    assert_eq!(tried(ResponsePhase::Awaited, true), Disposition::MayTry);
    assert_eq!(tried(ResponsePhase::Begun, false), Disposition::MayTry);
}

#[test]
fn a_gateway_that_starts_is_told_of_parts() {
    let subjects = after((1..=3).map(|n| begun(n, &[FATAL])));
    let mut started = FatalSubjects::default();
    started.apply_peer_update(at_ms(5_000), subjects.startup_peer_updates());
    assert!(is_held(&started, FATAL));
}

// Requests name many parts that nobody repeats: what is known of the cause is not lost.
#[test]
fn parts_that_nobody_repeats_evict_none_that_is_held_back() {
    let config = FatalConfig { max_subjects: 40, ..FatalConfig::default() };
    let mut subjects = FatalSubjects::new(config);
    (1..=3).for_each(|n| record(&mut subjects, &begun(n, &[FATAL])));
    for n in 4..=20 {
        let parts: Vec<_> = (0..20).map(|part| 100 * n + part).collect();
        record(&mut subjects, &begun(n, &parts));
    }
    assert!(is_held(&subjects, FATAL));
    assert_eq!(subjects.startup_peer_updates().count(), 42, "40 subjects, one with three crashes");
}

// Their crashes are forgotten in time, so that a common part can still be found to have turned fatal.
#[test]
fn crashes_that_were_cleared_long_ago_leave_room() {
    let mut subjects = FatalSubjects::default();
    for n in 1..=40 {
        record(&mut subjects, &begun(n, &[COMMON]));
        survive(&mut subjects, 1_000 * n + 500, &[COMMON]);
    }
    for n in 1_000..=1_005 {
        record(&mut subjects, &begun(n, &[COMMON]));
    }
    let disposition = subjects.disposition(at_ms(1_006_000), part(COMMON).into());
    assert!(matches!(disposition, Disposition::HeldBack { .. }));
}

#[test]
fn a_part_is_another_one_at_another_service() {
    let of = |service: &str, id: u64| {
        let service: ServiceName = service.parse().expect("a name");
        PartFingerprint::of_all(&service, [id]).next().expect("a part")
    };
    assert_eq!(of("engine", FATAL), of("engine", FATAL));
    assert_ne!(of("engine", FATAL), of("other", FATAL));
    assert_ne!(of("engine", FATAL), of("engine", SOUND));
}

#[test]
fn subjects_have_a_text_form() {
    let request = RequestFingerprint::of("POST", "/x", "workspace-1", b"body");
    for subject in [CrashSubject::from(request), part(FATAL).into(), part(u64::MAX).into()] {
        assert_eq!(subject.to_string().parse(), Ok(subject));
    }
    for text in ["part-", "part-1", "part-1-", "part-x-1", "part-1-2-3", "1-2", ""] {
        assert!(text.parse::<CrashSubject>().is_err(), "{text}");
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(68), ..Config::default() })]

    // Gateways receive the same updates in a different order each, some of them twice.
    #[test]
    fn news_of_parts_in_any_order_come_to_the_same(
        crashes in vec((0..5_u64, 0..9_u64, 0..3_usize, any::<bool>()), 0..60),
        swaps in vec((0..60_usize, 0..60_usize), 0..60),
    ) {
        let phases = [ResponsePhase::Awaited, ResponsePhase::Begun, ResponsePhase::Started];
        let update = |(id, upstream, phase, is_cleared): &(u64, u64, usize, bool)| CrashUpdate {
            subject: part(*id).into(),
            upstream: UpstreamKey(*upstream),
            at: at_ms(1_000 * *upstream),
            phase: phases[*phase],
            is_cleared: *is_cleared,
        };
        let mut shuffled = crashes.clone();
        shuffled.extend(crashes.iter().take(crashes.len() / 2));
        for (a, b) in swaps {
            if a < shuffled.len() && b < shuffled.len() {
                shuffled.swap(a, b);
            }
        }
        let apply_all = |crashes: &[(u64, u64, usize, bool)]| {
            let mut subjects = FatalSubjects::default();
            for crash in crashes {
                subjects.apply_peer_update(at_ms(9_000), [update(crash)]);
            }
            (0..5).map(|id| is_held(&subjects, id)).collect::<Vec<_>>()
        };
        assert_eq!(apply_all(&crashes), apply_all(&shuffled));
    }
}

// No list of parts that is too long to be shared makes a gateway keep more than a few.
#[test]
fn only_the_first_parts_of_a_long_prompt_are_considered() {
    let parts: Vec<_> = (0..10_000).collect();
    let subjects = after([begun(1, &parts)]);
    let kept = subjects.startup_peer_updates().filter(|update| update.subject.is_part()).count();
    assert_eq!(kept, 32);
    let none: Arc<[PartFingerprint]> = Arc::default();
    assert!(FatalSubjects::default().survived(at_ms(0), &none).is_empty());
}

#[test]
fn news_are_told_for_a_while_and_the_latest_first() {
    let subjects = after([begun(1, &[FATAL]), begun(2, &[SOUND])]);
    let told = subjects.peer_updates(at_ms(3_500));
    let of_parts = told.iter().filter(|update| update.subject.is_part());
    let ids: Vec<_> = of_parts.map(|update| update.subject).collect();
    assert_eq!(ids, [part(SOUND).into(), part(FATAL).into()]);
    let is_late = subjects.peer_updates(at_ms(1_000).after(Duration::from_millis(3_000)));
    assert!(is_late.iter().all(|update| update.subject != part(FATAL).into()));
}
