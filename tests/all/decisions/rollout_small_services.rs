//! Rollouts of services with so few requests that a new version gives few answers in the ordered time.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_gateway::control_store::RolloutOrder;
use stallhoist_gateway::control_store::StoredRollout;
use stallhoist_gateway::rollouts::Rollouts;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;

use super::at_ms;
use super::rollout_rules::version;

/// Requests per second, the share of the first of two routes, and the old version's failure rates on them.
const RATE_PER_S: f64 = 12.0;
const FIRST_ROUTE_SHARE: f64 = 0.45;
const FAILURE_RATES: [f64; 2] = [0.14, 0.004];

const ORDERED_MS: u64 = 10_000;
const DURATION_MS: u64 = 16_000;

/// How the new version differs from the old one.
#[derive(Debug, Clone, Copy)]
struct NewVersion {
    /// Fraction of the answers that fail which would not at the old version.
    failures: f64,
    /// Factor on the time of an answer.
    slowdown: f64,
    /// From when on after the order it is so.
    since_ms: u64,
    /// Whether only the second route is concerned.
    is_on_one_route: bool,
}

const GOOD: NewVersion =
    NewVersion { failures: 0.0, slowdown: 1.0, since_ms: 0, is_on_one_route: false };

/// The end of a rollout.
#[derive(Debug)]
struct End {
    phase: RolloutPhase,
    /// Requests in the ordered time, and those of them that the new version got.
    requests: u32,
    exposed: u32,
}

impl End {
    fn is_completed(&self) -> bool {
        self.phase == RolloutPhase::Completed
    }
}

/// Plays one rollout on one gateway, until the ordered time is over.
fn play(new: NewVersion, seed: u64) -> End {
    let service: ServiceName = "s".parse().expect("a name");
    let target: VersionName = version("v2");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut rollouts = Rollouts::new(RolloutConfig::default());
    rollouts.set_store_clock(at_ms(0), 0);
    let mut phase = RolloutPhase::Canary;
    let (mut requests, mut exposed, mut row_version) = (0, 0, 100);
    for ms in 0..ORDERED_MS + DURATION_MS {
        let now = at_ms(ms);
        if ms == ORDERED_MS {
            rollouts.apply_order(RolloutOrder {
                service: service.clone(),
                target: target.clone(),
                duration: Duration::from_millis(DURATION_MS),
                row_version: StoreVersion::of(row_version),
            });
        }
        if ms % 100 == 0 {
            for change in rollouts.due(now) {
                row_version += 1;
                phase = change.record.phase;
                let row_version = StoreVersion::of(row_version);
                let (service, record) = (change.service, change.record);
                rollouts.stored(StoredRollout { service, record, row_version });
            }
        }
        if !rng.random_bool(RATE_PER_S / 1e3) {
            continue;
        }
        let rule = rollouts.rule(now, &service, rng.random_range(0.0..1.0), None);
        let is_new = ms >= ORDERED_MS && rule.wanted.allows(&target);
        if ms >= ORDERED_MS {
            requests += 1;
            exposed += u32::from(is_new);
        }
        let route = usize::from(!rng.random_bool(FIRST_ROUTE_SHARE));
        let is_different =
            is_new && ms >= ORDERED_MS + new.since_ms && (route == 1 || !new.is_on_one_route);
        let extra_failures = if is_different { new.failures } else { 0.0 };
        let failure_rate = 1.0 - (1.0 - FAILURE_RATES[route]) * (1.0 - extra_failures);
        let slowdown = if is_different { new.slowdown } else { 1.0 };
        let observation = if rng.random_bool(failure_rate) {
            Observation::Failed
        } else {
            let time_ms = rng.random_range(20.0..45.0) * slowdown;
            Observation::Answered(Duration::from_secs_f64(time_ms / 1e3))
        };
        let kind = RequestKind {
            route: Some(["r-0", "r-1"][route].parse().expect("a name")),
            model: None,
            part: LatencyKind::First,
        };
        let served_by = if is_new { target.clone() } else { version("v1") };
        rollouts.observe(&service, &served_by, &kind, 0, observation);
    }
    End { phase, requests, exposed }
}

#[test]
fn a_bad_version_is_not_completed_for_want_of_answers() {
    let bad = NewVersion { failures: 0.3, ..GOOD };
    let completed = (0..200).filter(|seed| play(bad, *seed).is_completed());
    let completed: Vec<_> = completed.collect();
    assert!(completed.len() <= 2, "{} of 200: seeds {completed:?}", completed.len());
}

/// Checks that a good version is completed, in all but one of ten rollouts, and that no version gets more
/// requests than a bad one may.
#[test]
fn a_good_version_of_a_small_service_is_completed() {
    let ends: Vec<_> = (0..200).map(|seed| play(GOOD, seed)).collect();
    let completed = ends.iter().filter(|end| end.is_completed()).count();
    assert!(completed >= 180, "{completed} of 200");
    for End { requests, exposed, .. } in ends {
        assert!(f64::from(exposed) <= 0.15 * f64::from(requests) + 30.0, "{exposed} of {requests}");
    }
}
