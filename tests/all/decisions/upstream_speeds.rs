//! Speed of upstreams relative to their service, pooled over gateways, and the pace that they report.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_gateway::dialect::Dialect;
use stallhoist_policy::balance::PacePercent;
use stallhoist_policy::balance::ReportedLoad;
use stallhoist_policy::balance::ReportedPaces;
use stallhoist_policy::balance::SpeedEvidence;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::UpstreamSpeeds;
use stallhoist_users_platform::PlatformDialect;

use super::at_ms;

fn incarnation(name: &str) -> UpstreamIncarnation {
    name.parse().expect("a name")
}

fn host(n: u32) -> HostId {
    format!("entry-{n}").parse().expect("a name")
}

fn service() -> ServiceName {
    "service".parse().expect("a name")
}

/// Slowdown that is learned from responses whose durations vary by a factor of two either way, one in ten of
/// them delayed by a factor of ten.
fn learned(slowdown: f64, responses: u64, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut speeds = UpstreamSpeeds::default();
    let a = incarnation("a");
    for n in 0..responses {
        let variation = 2.0_f64.powf(rng.random_range(-1.0..1.0));
        let delay = if rng.random_bool(0.1) { 10.0 } else { 1.0 };
        speeds.observe(at_ms(n * 100), &a, slowdown * variation * delay);
    }
    speeds.slowdown(at_ms(responses * 100), &a)
}

/// Checks for each of twenty seeds that after this many responses the slowdown is within a range.
macro_rules! learned {
    ($name:ident, $slowdown:expr, $responses:expr, $range:expr) => {
        #[test]
        fn $name() {
            for seed in 0..20 {
                let slowdown = learned($slowdown, $responses, seed);
                assert!($range.contains(&slowdown), "seed {seed}: {slowdown}");
            }
        }
    };
}

learned!(normal_speed_after_30_responses, 1.0, 30, 0.75..1.5);
learned!(half_the_speed_after_30_responses, 2.0, 30, 1.35..2.7);
learned!(twice_the_speed_after_30_responses, 0.5, 30, 0.4..0.8);
learned!(one_response_says_little, 2.0, 1, 0.8..1.4);

#[test]
fn a_new_start_begins_at_normal_speed() {
    let mut speeds = UpstreamSpeeds::default();
    for n in 0..50 {
        speeds.observe(at_ms(n), &incarnation("a/1"), 3.0);
    }
    assert!(speeds.slowdown(at_ms(50), &incarnation("a/1")) > 2.0);
    assert_eq!(speeds.slowdown(at_ms(50), &incarnation("a/2")), 1.0);
}

#[test]
fn an_upstream_that_becomes_faster_is_noticed() {
    let mut speeds = UpstreamSpeeds::default();
    let a = incarnation("a");
    for n in 0..100 {
        speeds.observe(at_ms(n * 100), &a, 2.0);
    }
    for n in 0..100 {
        speeds.observe(at_ms(120_000 + n * 100), &a, 1.0);
    }
    let slowdown = speeds.slowdown(at_ms(130_000), &a);
    assert!(slowdown < 1.25, "{slowdown}");
}

/// Checks that an observation that is no positive number is refused, and changes nothing.
macro_rules! refused {
    ($name:ident, $slowdown:expr) => {
        #[test]
        fn $name() {
            let mut speeds = UpstreamSpeeds::default();
            assert!(!speeds.observe(at_ms(0), &incarnation("a"), $slowdown));
            assert_eq!(speeds.slowdown(at_ms(0), &incarnation("a")), 1.0);
        }
    };
}

refused!(not_a_number, f64::NAN);
refused!(infinite, f64::INFINITY);
refused!(zero, 0.0);
refused!(negative, -1.0);

#[test]
fn a_slow_moment_is_not_a_slow_upstream() {
    let (mut speeds, a) = (UpstreamSpeeds::default(), incarnation("a"));
    for n in 0..100 {
        let is_slow = n % 4 == 0;
        let (slowdown, percent) = if is_slow { (2.5, 250) } else { (1.0, 100) };
        speeds.observe_at_pace(at_ms(n * 100), &a, slowdown, PacePercent::new(percent));
    }
    assert_eq!(speeds.slowdown(at_ms(10_000), &a), 1.0);
}

const EVIDENCE: SpeedEvidence = SpeedEvidence { weight: 20, log_milli: 14_000 };

fn key() -> UpstreamKey {
    UpstreamKey::of(&incarnation("a"))
}

#[test]
fn evidence_of_peers_adds_up_to_what_one_gateway_would_have_seen() {
    let (mut alone, mut pooled) = (UpstreamSpeeds::default(), UpstreamSpeeds::default());
    let a = incarnation("a");
    for n in 0..4 {
        let mut peer = UpstreamSpeeds::default();
        for _ in 0..5 {
            alone.observe(at_ms(0), &a, 2.0);
            peer.observe(at_ms(0), &a, 2.0);
        }
        pooled.apply_peer_update(at_ms(0), &host(n), peer.sums(at_ms(0), 0, 10, |_| true));
    }
    let (alone, pooled) = (alone.evidence(at_ms(0), &a), pooled.evidence(at_ms(0), &a));
    assert_eq!(alone.weight, pooled.weight);
    // Each gateway rounds its own sum to thousandths.
    assert!((alone.log_milli - pooled.log_milli).abs() <= 4, "{alone:?} {pooled:?}");
}

#[test]
fn an_update_of_a_peer_replaces_its_previous_one() {
    let mut speeds = UpstreamSpeeds::default();
    for n in 0..100 {
        speeds.apply_peer_update(at_ms(n), &host(1), [(key(), EVIDENCE)]);
    }
    assert_eq!(speeds.evidence(at_ms(100), &incarnation("a")), EVIDENCE);
}

/// A relay tells each gateway of its group what all others know. Own evidence that came back would grow with
/// every exchange.
#[test]
fn own_evidence_does_not_come_back_through_a_relay() {
    let a = incarnation("a");
    let mut gateways = [UpstreamSpeeds::default(), UpstreamSpeeds::default()];
    let mut relay = UpstreamSpeeds::default();
    for gateway in &mut gateways {
        assert!((0..10).all(|_| gateway.observe(at_ms(0), &a, 2.0)));
    }
    for round in 0..20 {
        let now = at_ms(round * 10);
        for (n, gateway) in (0..).zip(&mut gateways) {
            let told = gateway.sums(now, round, 10, |peer| *peer != host(9));
            relay.apply_peer_update(now, &host(n), told);
            let answer = relay.sums(now, round, 10, |peer| *peer != host(n));
            gateway.apply_peer_update(now, &host(9), answer);
        }
    }
    for speeds in gateways.iter().chain([&relay]) {
        assert_eq!(speeds.evidence(at_ms(200), &a).weight, 20);
    }
}

#[test]
fn evidence_of_a_silent_peer_expires() {
    let mut speeds = UpstreamSpeeds::default();
    speeds.apply_peer_update(at_ms(0), &host(1), [(key(), EVIDENCE)]);
    speeds.expire(at_ms(29_000));
    assert_eq!(speeds.evidence(at_ms(29_000), &incarnation("a")), EVIDENCE);
    speeds.expire(at_ms(30_000));
    assert!(speeds.evidence(at_ms(30_000), &incarnation("a")).is_empty());
}

#[test]
fn an_impossible_sum_of_a_peer_is_bounded() {
    let mut speeds = UpstreamSpeeds::default();
    let nonsense = SpeedEvidence { weight: u32::MAX, log_milli: i32::MAX };
    speeds.apply_peer_update(at_ms(0), &host(1), [(key(), nonsense)]);
    let slowdown = speeds.slowdown(at_ms(0), &incarnation("a"));
    assert!(slowdown <= 4.0, "{slowdown}");
    speeds.apply_peer_update(at_ms(1), &host(1), [(key(), EVIDENCE)]);
    assert_eq!(speeds.evidence(at_ms(1), &incarnation("a")), EVIDENCE);
}

#[test]
fn all_upstreams_get_a_turn_in_messages_of_bounded_size() {
    let mut speeds = UpstreamSpeeds::default();
    for n in 0..100 {
        speeds.observe(at_ms(0), &incarnation(&format!("i-{n}")), 2.0);
    }
    let mut told = std::collections::HashSet::new();
    for turn in 0..100 {
        let sums = speeds.sums(at_ms(0), turn, 16, |_| true);
        assert!(sums.len() <= 16);
        told.extend(sums.into_keys());
    }
    assert_eq!(told.len(), 100);
}

fn pace(percent: u32) -> PacePercent {
    PacePercent::new(percent).expect("a plausible pace")
}

#[test]
fn implausible_paces_are_none() {
    for percent in [0, 1, 9, 2_001, u32::MAX] {
        assert_eq!(PacePercent::new(percent), None);
    }
}

#[test]
fn a_slow_moment_counts_while_it_is_fresh() {
    let (mut paces, a) = (ReportedPaces::default(), incarnation("a"));
    paces.record(at_ms(0), &service(), &a, pace(250));
    let slowdown = |ms| paces.slowdown(at_ms(ms), &service(), &a);
    assert!(slowdown(0) > 2.4, "{}", slowdown(0));
    assert!(slowdown(500) < slowdown(100));
    assert_eq!(slowdown(1_000), 1.0);
}

#[test]
fn reports_that_change_often_are_believed_for_a_shorter_time() {
    let a = incarnation("a");
    let after_changes = |percents: [u32; 2]| {
        let mut paces = ReportedPaces::default();
        for n in 0..200 {
            let percent = percents[usize::from(n % 2 == 1)];
            paces.record(at_ms(n * 200), &service(), &a, pace(percent));
        }
        paces.record(at_ms(40_000), &service(), &a, pace(250));
        paces.slowdown(at_ms(40_300), &service(), &a)
    };
    let (often, never) = (after_changes([100, 250]), after_changes([250, 250]));
    assert!(often < 1.5 && never > 2.3, "{often} {never}");
}

#[test]
fn an_upstream_that_reports_to_be_fast_attracts_nothing() {
    let (mut paces, a) = (ReportedPaces::default(), incarnation("a"));
    paces.record(at_ms(0), &service(), &a, pace(10));
    assert_eq!(paces.slowdown(at_ms(0), &service(), &a), 1.0);
    paces.record(at_ms(1), &service(), &a, pace(2_000));
    assert_eq!(paces.slowdown(at_ms(1), &service(), &a), 4.0);
}

/// The load in a response with this header.
fn reported(figures: &str) -> Option<ReportedLoad> {
    let response = http::Response::builder().header("Server-Load", figures);
    let (head, ()) = response.body(()).expect("a head").into_parts();
    PlatformDialect.read_reply(&head).upstream_report.load
}

/// Checks which slots and pace are read from a header, and how many figures are rejected.
macro_rules! figures {
    ($name:ident, $figures:expr, $slots:expr, $pace:expr, $rejected:expr) => {
        #[test]
        fn $name() {
            let load = reported($figures).expect("a load");
            assert_eq!((load.running, load.waiting), (3, 1));
            assert_eq!((load.slots, load.pace.map(PacePercent::slowdown)), ($slots, $pace));
            assert_eq!(load.rejected_figures, $rejected);
        }
    };
}

figures!(two_figures, "3,1", None, None, 0);
figures!(three_figures, "3, 1, 8", Some(8), None, 0);
figures!(four_figures, "3,1,8,250", Some(8), Some(2.5), 0);
figures!(a_pace_of_zero, "3,1,8,0", Some(8), None, 1);
figures!(a_huge_pace, "3,1,8,99999999999999", Some(8), None, 1);
figures!(no_numbers, "3,1,x,NaN", None, None, 2);
figures!(no_slots, "3,1,0,100", None, Some(1.0), 1);
figures!(huge_slots, "3,1,4294967295,-1", None, None, 2);
