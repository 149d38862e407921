//! The quota of one gateway at an upstream that reports a rate limit, and the events that end a limit.

use std::time::Duration;

use proptest::prelude::*;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestRate;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fleet_bound::Fleet;
use stallhoist_policy::fleet_bound::SendQuota;
use stallhoist_policy::named_limits::LimitUpdate;
use stallhoist_policy::named_limits::NamedLimit;
use stallhoist_policy::named_limits::NamedLimits;

use super::at_ms;

/// Age of the gateway's process at time 0 of a test: old enough to use its share at once.
const AGE_MS: u64 = 2_000;

/// Time without an update after which a gateway without a share sends a request of its own.
const UPDATE_TIMEOUT_MS: u64 = 10_000;

fn at(ms: u64) -> MonoTime {
    at_ms(AGE_MS + ms)
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid host id")
}

fn start() -> UpstreamIncarnation {
    "i-1".parse().expect("a valid incarnation")
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a valid rate")
}

/// One of several gateways, all of which know each other.
struct Entry {
    limits: NamedLimits,
    fleet: Fleet,
}

impl Entry {
    fn of(number: usize, entries: usize) -> Self {
        let mut fleet = Fleet::new(&host(number));
        (0..entries).for_each(|other| fleet.add_gateway(host(other)));
        Self { limits: NamedLimits::default(), fleet }
    }

    /// The same with a limit reported at time 0.
    fn limited(number: usize, entries: usize, per_s: f64) -> Self {
        let mut entry = Self::of(number, entries);
        entry.report(0, 0, per_s);
        entry
    }

    fn report(&mut self, ms: u64, sent_ms: u64, per_s: f64) -> bool {
        self.limits.record_report(at(ms), &start(), at(sent_ms), NamedLimit::Of(rate(per_s)))
    }

    fn report_none(&mut self, ms: u64, sent_ms: u64) -> bool {
        self.limits.record_report(at(ms), &start(), at(sent_ms), NamedLimit::Unsaid)
    }

    fn limit(&self) -> Option<f64> {
        self.limits.limit(&start()).map(RequestRate::per_s)
    }

    fn place(&self, ms: u64) -> SendQuota {
        self.limits.place(at(ms), &start(), &self.fleet)
    }

    /// Sends requests until the quota at one moment is used up. Returns their number.
    fn send_all(&mut self, ms: u64) -> usize {
        let mut sent = 0;
        while self.place(ms) == SendQuota::Free {
            self.limits.record_sent(at(ms), &start());
            sent += 1;
        }
        sent
    }

    /// The update that it would send to peers.
    fn peer_update(&self, ms: u64) -> Option<LimitUpdate> {
        self.limits.peer_updates(at(ms)).next().map(|(_, update)| update)
    }

    fn apply_peer_update(&mut self, ms: u64, update: LimitUpdate) -> bool {
        self.limits.apply_peer_update(at(ms), UpstreamKey::of(&start()), update)
    }
}

/// All gateways together send exactly the expected number of requests in one window of a limit.
macro_rules! divided {
    ($name:ident, $entries:expr, $per_s:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let sent: usize =
                (0..$entries).map(|n| Entry::limited(n, $entries, $per_s).send_all(1)).sum();
            assert_eq!(sent, $expected);
        }
    };
}

divided!(one_entry_uses_it_alone, 1, 2.2, 9);
divided!(divided_among_4, 4, 2.2, 9);
divided!(divided_among_12, 12, 2.2, 9);
divided!(divided_among_300, 300, 2.2, 9);
divided!(a_small_one_among_300, 300, 0.3, 1);
divided!(a_large_one_among_21, 21, 1_000.0, 4_400);
divided!(a_limit_of_nothing_lets_one_through, 21, 0.0, 1);

/// A single gateway that has used all of a limit may send its next request at the expected time.
macro_rules! next_after {
    ($name:ident, $per_s:expr, $ms:expr) => {
        #[test]
        fn $name() {
            let mut entry = Entry::limited(0, 1, $per_s);
            entry.send_all(0);
            assert_eq!(entry.place(1), SendQuota::FreeAt(at($ms)));
            assert_eq!(entry.send_all($ms - 1), 0);
            assert!(entry.send_all($ms) > 0);
        }
    };
}

next_after!(a_window_is_longer_than_four_seconds, 2.2, 4_400);
next_after!(a_small_one_has_a_longer_window, 0.1, 10_000);
next_after!(no_upstream_is_out_for_good, 0.0, 20_000);

#[test]
fn a_huge_limit_bounds_nothing() {
    let mut entry = Entry::limited(0, 1, 2.2);
    assert!(entry.report(100, 50, 1e308));
    assert_eq!(entry.place(100), SendQuota::Unbounded);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut entry = Entry::limited(0, 1, 2.2);
    assert!(!entry.limits.record_report(at(900), &start(), at(800), NamedLimit::Unknown));
    assert_eq!(entry.limit(), Some(2.2));
    let mut other = Entry::of(0, 1);
    assert!(!other.limits.record_report(at(900), &start(), at(800), NamedLimit::Unknown));
    assert_eq!(other.place(900), SendQuota::Unbounded);
}

#[test]
fn an_answer_that_names_none_ends_it() {
    let mut entry = Entry::limited(0, 1, 2.2);
    assert!(entry.report_none(200, 100));
    assert_eq!(entry.place(200), SendQuota::Unbounded);
}

// The response was made before the limit was first reported, and arrived later.
#[test]
fn an_answer_that_was_overtaken_does_not_end_it() {
    let mut entry = Entry::of(0, 1);
    entry.report(1_000, 900, 2.2);
    assert!(!entry.report_none(1_100, 999));
    assert_eq!(entry.limit(), Some(2.2));
}

#[test]
fn an_answer_that_was_overtaken_does_not_raise_it() {
    let mut entry = Entry::of(0, 1);
    entry.report(1_000, 900, 2.2);
    assert!(!entry.report(1_100, 999, 50.0));
    assert_eq!(entry.limit(), Some(2.2));
    assert!(entry.report(1_200, 1_050, 5.0));
    assert!(entry.report(1_300, 900, 1.0));
    assert_eq!(entry.limit(), Some(1.0));
}

// The responses with the larger limit overlap: each request was sent before the previous response arrived.
#[test]
fn a_limit_that_is_raised_under_constant_load_is_found_out() {
    let mut entry = Entry::of(0, 1);
    entry.report(1_000, 900, 2.2);
    let raised = (11..30).map(|n| n * 100).find(|ms| entry.report(*ms, ms - 500, 5.0));
    assert_eq!(raised, Some(1_500));
}

#[test]
fn what_was_sent_counts_again_when_a_limit_flaps() {
    let mut entry = Entry::limited(0, 1, 2.2);
    assert_eq!(entry.send_all(0), 9);
    entry.report_none(200, 100);
    entry.report(400, 300, 2.2);
    assert_eq!(entry.send_all(400), 0);
    assert_eq!(entry.send_all(4_400), 9);
}

/// The last in rank of 21 gateways, which has no share of the upstream's limit.
fn without_a_share() -> Entry {
    let entries = (0..21).map(|n| (Entry::limited(n, 21, 0.3), n));
    let last = entries.max_by_key(|(entry, _)| match entry.place(1) {
        SendQuota::OthersUntil(at) => at,
        _ => MonoTime::default(),
    });
    let (entry, _) = last.expect("at least one gateway");
    assert!(matches!(entry.place(1), SendQuota::OthersUntil(_)));
    entry
}

#[test]
fn entries_without_a_part_ask_one_after_the_other() {
    let mut entries: Vec<_> = (0..21).map(|n| Entry::limited(n, 21, 0.3)).collect();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..400_000).step_by(50) {
        for entry in &mut entries {
            let may_send = matches!(entry.place(ms), SendQuota::Free);
            if may_send {
                entry.limits.record_sent(at(ms), &start());
                sent.push(ms);
            }
        }
    }
    // No request gets a response here, which is the worst case.
    let most = sent
        .iter()
        .map(|from| sent.iter().filter(|ms| (*from..*from + 4_000).contains(*ms)).count());
    assert!(most.max() <= Some(6), "{sent:?}");
    assert!(sent.len() > 20 + 400_000 / 4_400, "{sent:?}");
}

#[test]
fn one_without_a_part_waits_while_others_hear_of_it() {
    let mut entry = without_a_share();
    let until = |place| {
        if let SendQuota::OthersUntil(at) = place { at } else { MonoTime::default() }
    };
    let before = until(entry.place(1));
    entry.apply_peer_update(5_000, LimitUpdate { limit: Some(rate(0.3)), age: Duration::ZERO });
    assert_eq!(until(entry.place(5_000)), before.after(Duration::from_millis(5_000)));
}

#[test]
fn one_that_is_told_that_it_is_over_uses_it_in_full() {
    let mut entry = without_a_share();
    assert!(
        entry.apply_peer_update(900, LimitUpdate { limit: None, age: Duration::from_millis(100) })
    );
    assert_eq!(entry.place(900), SendQuota::Unbounded);
}

#[test]
fn what_is_told_is_believed_only_if_it_is_later() {
    let mut entry = Entry::of(0, 3);
    entry.report(1_000, 900, 2.2);
    let over = |age_ms| LimitUpdate { limit: None, age: Duration::from_millis(age_ms) };
    assert!(!entry.apply_peer_update(1_500, over(500)));
    assert!(entry.apply_peer_update(1_500, over(499)));
}

#[test]
fn an_end_of_what_was_never_named_is_no_news() {
    let mut entry = Entry::of(0, 3);
    assert!(!entry.apply_peer_update(500, LimitUpdate { limit: None, age: Duration::ZERO }));
    assert_eq!(entry.peer_update(500), None);
}

// An update arrives with a delay, so each gateway may take the other's for a newer state.
#[test]
fn two_entries_do_not_tell_each_other_for_ever() {
    let (mut one, mut other) = (Entry::limited(0, 2, 2.2), Entry::of(1, 2));
    let exchanged = (0..200).map(|n| n * 200).filter(|ms| {
        let there = one.peer_update(*ms).map(|update| other.apply_peer_update(ms + 150, update));
        let back =
            other.peer_update(ms + 150).map(|update| one.apply_peer_update(ms + 199, update));
        there.is_some() || back.is_some()
    });
    let last_ms = exchanged.max().expect("an update is exchanged");
    assert!(last_ms < 4_000, "{last_ms}");
}

#[test]
fn an_entry_that_is_not_listed_asks_last() {
    let mut fleet = Fleet::new(&host(99));
    (0..3).for_each(|other| fleet.add_gateway(host(other)));
    let mut entry = Entry { limits: NamedLimits::default(), fleet };
    entry.report(0, 0, 2.2);
    assert_eq!(entry.send_all(UPDATE_TIMEOUT_MS - 1), 0);
    assert_eq!(entry.send_all(UPDATE_TIMEOUT_MS), 1);
}

#[test]
fn what_is_known_outlasts_the_entry_in_the_list() {
    let mut entry = Entry::limited(0, 1, 2.2);
    entry.limits.expire(at(599_999));
    assert_eq!(entry.limit(), Some(2.2));
    entry.limits.expire(at(600_000));
    assert_eq!(entry.limit(), None);
}

proptest! {
    /// Responses overtake each other by up to a second. Once one with a limit has arrived, and while the
    /// upstream reports it, no order of arrival makes the gateway drop the limit.
    #[test]
    fn no_order_of_answers_ends_a_limit_that_holds(
        answers in proptest::collection::vec((0_u64..6_000, 0_u64..500, 0_u64..1_000), 1..60),
    ) {
        const HOLDS_FROM_MS: u64 = 2_000;
        // Times at which the request was sent, the response made, and the response received.
        let mut answers: Vec<_> =
            answers.iter().map(|(sent, work, way)| (*sent, sent + work, sent + work + way)).collect();
        answers.sort_by_key(|(.., came)| *came);
        let mut entry = Entry::of(0, 1);
        let mut is_reported = false;
        for (sent, made, came) in answers {
            if made >= HOLDS_FROM_MS {
                entry.report(came, sent, 2.2);
                is_reported = true;
            } else {
                entry.report_none(came, sent);
            }
            prop_assert!(!is_reported || entry.limit() == Some(2.2));
        }
    }

    /// In no span of four seconds do all gateways together send more than the limit, whatever the gaps
    /// between their requests.
    #[test]
    fn no_four_seconds_have_more_than_the_limit(
        gaps_ms in proptest::collection::vec(0_u64..30, 300),
        entries in 1_usize..40,
        per_s in 0.3_f64..30.0,
    ) {
        let most = most_in_four_seconds(&gaps_ms, entries, per_s);
        prop_assert!(most as f64 <= (4.4 * per_s).max(1.0), "{most} within four seconds");
    }

    /// With every update between gateways lost, and for long enough that gateways without a share send
    /// requests too, they send no more than the platform accepts.
    #[test]
    fn with_all_news_lost_no_four_seconds_have_more_than_is_let_through(
        gaps_ms in proptest::collection::vec(0_u64..300, 300),
        entries in 1_usize..40,
        per_s in 0.0_f64..30.0,
    ) {
        let most = most_in_four_seconds(&gaps_ms, entries, per_s);
        prop_assert!(most as f64 <= 1.5 * 4.0 * per_s + 5.0, "{most} within four seconds");
    }
}

/// The most requests that all gateways send within four seconds, in turn, with these gaps between requests.
fn most_in_four_seconds(gaps_ms: &[u64], entries: usize, per_s: f64) -> usize {
    let mut fleet: Vec<_> = (0..entries).map(|n| Entry::limited(n, entries, per_s)).collect();
    let mut now_ms = 0;
    let mut sent: Vec<u64> = Vec::new();
    for (n, gap_ms) in gaps_ms.iter().enumerate() {
        now_ms += gap_ms;
        let entry = &mut fleet[n % entries];
        if entry.place(now_ms) == SendQuota::Free {
            entry.limits.record_sent(at(now_ms), &start());
            entry.report(now_ms, now_ms, per_s);
            sent.push(now_ms);
        }
    }
    let within =
        |first: &u64| sent.iter().filter(|ms| (*first..=first + 4_000).contains(*ms)).count();
    sent.iter().map(within).max().unwrap_or(0)
}
