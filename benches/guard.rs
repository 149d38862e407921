//! The guard against bad versions, in virtual time: `cargo bench --bench guard`.
//!
//! Responses of a version come from several upstreams; their counts reach the guard in reports, one second
//! late. The guard is the entry's own `policy::guard`.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::ModelVersion;
use stallhoist_measure::Report;
use stallhoist_measure::Spread;
use stallhoist_policy::guard::EvidenceCounts;
use stallhoist_policy::guard::Guard;
use stallhoist_policy::guard::GuardConfig;
use stallhoist_policy::version::VersionCandidate;
use stallhoist_policy::version::split;

const SEEDS: u64 = 200;
const HEALTHY_ROLLOUTS: u64 = 2_000;
const HEALTHY_RESPONSES: u64 = 10_000;
const UPSTREAMS: usize = 6;
/// Requests of this model in the whole fleet between two reports.
const REQUESTS_PER_REPORT: u64 = 50;
const BASELINE_BAD_RATE: f64 = 0.02;

/// Fault of the new version.
#[derive(Debug, Clone, Copy)]
struct Fault {
    name: &'static str,
    /// Failure rate in addition to the baseline.
    added_failure_rate: f64,
    /// Rate of poor ratings in addition to the baseline; a twentieth of responses is rated.
    added_poor_rate: f64,
    /// Number of upstreams with the fault.
    upstreams: usize,
    /// Number of responses after which the fault begins.
    begins_after: u64,
    /// The new version's share by the operators' weights.
    share: f64,
}

struct World {
    guard: Guard,
    old: ModelVersion,
    new: ModelVersion,
    counts: Vec<[EvidenceCounts; 2]>,
    hosts: Vec<HostId>,
    rng: StdRng,
}

/// Result of one rollout.
#[derive(Debug, Default, Clone, Copy)]
struct RolloutResult {
    is_held: bool,
    bad_responses: f64,
    answers: f64,
    exposure: f64,
}

impl World {
    fn new(seed: u64, established: bool) -> Self {
        let hosts = (0..2 * UPSTREAMS).map(|n| format!("host-{n}").parse().expect("a name"));
        let mut world = Self {
            guard: Guard::new(GuardConfig::default()),
            old: "m@v1".parse().expect("a version"),
            new: "m@v2".parse().expect("a version"),
            counts: vec![[EvidenceCounts::default(); 2]; UPSTREAMS],
            hosts: hosts.collect(),
            rng: StdRng::seed_from_u64(seed),
        };
        if established {
            for _ in 0..5_000 {
                world.answer(0, BASELINE_BAD_RATE, BASELINE_BAD_RATE);
            }
            world.report();
        }
        world
    }

    /// Records a response of version 0 or 1 on a random upstream. Returns whether it was bad.
    fn answer(&mut self, version: usize, failure_rate: f64, poor_rate: f64) -> bool {
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.respond_at(upstream, version, failure_rate, poor_rate)
    }

    fn respond_at(&mut self, upstream: usize, version: usize, failures: f64, poor: f64) -> bool {
        let counts = &mut self.counts[upstream][version];
        counts.answers += 1;
        let is_failure = self.rng.random_bool(failures);
        counts.failures += u64::from(is_failure);
        let is_rated = !is_failure && self.rng.random_bool(0.05);
        let is_poor = self.rng.random_bool(poor);
        counts.ratings += u64::from(is_rated);
        counts.poor_ratings += u64::from(is_rated && is_poor);
        is_failure || is_poor
    }

    fn report(&mut self) {
        for upstream in 0..UPSTREAMS {
            let [old, new] = self.counts[upstream];
            self.guard.report(&self.hosts[upstream], &self.old, old);
            self.guard.report(&self.hosts[UPSTREAMS + upstream], &self.new, new);
        }
    }

    fn version_candidates(&self, share: f64) -> [VersionCandidate; 2] {
        let candidate = |version: &ModelVersion, weight: f64| VersionCandidate {
            version: version.clone(),
            weight: (weight * 1_000.0) as u32,
            cap_percent: self.guard.cap_percent(version),
            is_held: self.guard.is_held(version),
        };
        [candidate(&self.old, 1.0 - share), candidate(&self.new, share)]
    }
}

/// Simulates a rollout until the version is held, or for `max_requests` requests of the model.
fn run_rollout(seed: u64, fault: Fault, max_requests: u64, is_ramped: bool) -> RolloutResult {
    let mut world = World::new(seed, true);
    let (mut outcome, mut requests) = (RolloutResult::default(), 0.0);
    if !is_ramped {
        // The version has served without faults for a long time.
        for _ in 0..2_000 {
            world.answer(1, BASELINE_BAD_RATE, BASELINE_BAD_RATE);
        }
        world.report();
    }
    while (requests as u64) < max_requests && !outcome.is_held {
        for _ in 0..REQUESTS_PER_REPORT {
            requests += 1.0;
            let version_candidates = world.version_candidates(fault.share);
            let chosen =
                split(&version_candidates, &mut world.rng).expect("the old version serves");
            if chosen == world.old {
                world.answer(0, BASELINE_BAD_RATE, BASELINE_BAD_RATE);
                continue;
            }
            outcome.answers += 1.0;
            let upstream = world.rng.random_range(0..UPSTREAMS);
            let is_on = upstream < fault.upstreams && outcome.answers > fault.begins_after as f64;
            let extra =
                if is_on { (fault.added_failure_rate, fault.added_poor_rate) } else { (0.0, 0.0) };
            let is_bad = world.respond_at(
                upstream,
                1,
                BASELINE_BAD_RATE + extra.0,
                BASELINE_BAD_RATE + extra.1,
            );
            outcome.bad_responses += f64::from(is_bad && is_on);
        }
        // Reports are late: the guard has no effect on the responses above.
        world.report();
        outcome.is_held = world.guard.is_held(&world.new);
    }
    outcome.exposure = outcome.answers / requests;
    outcome
}

/// Returns whether a healthy version is ever held.
fn has_false_hold(seed: u64) -> bool {
    let mut world = World::new(1_000_000 + seed, true);
    for _ in 0..HEALTHY_RESPONSES / REQUESTS_PER_REPORT {
        for _ in 0..REQUESTS_PER_REPORT {
            world.answer(1, BASELINE_BAD_RATE, BASELINE_BAD_RATE);
            world.answer(0, BASELINE_BAD_RATE, BASELINE_BAD_RATE);
        }
        world.report();
        if world.guard.is_held(&world.new) {
            return true;
        }
    }
    false
}

/// Rate of false holds of the baseline, a fixed threshold on the last hundred responses.
fn threshold_false_holds() -> f64 {
    let held = (0..HEALTHY_ROLLOUTS).filter(|seed| {
        let mut rng = StdRng::seed_from_u64(*seed);
        let mut window = std::collections::VecDeque::new();
        (0..HEALTHY_RESPONSES).any(|_| is_over_threshold(&mut window, &mut rng))
    });
    held.count() as f64 / HEALTHY_ROLLOUTS as f64
}

fn is_over_threshold(window: &mut std::collections::VecDeque<bool>, rng: &mut impl Rng) -> bool {
    window.push_back(rng.random_bool(BASELINE_BAD_RATE));
    if window.len() > 100 {
        window.pop_front();
    }
    window.iter().filter(|bad| **bad).count() >= 10
}

fn main() {
    let fault = Fault {
        name: "",
        added_failure_rate: 0.2,
        added_poor_rate: 0.0,
        upstreams: UPSTREAMS,
        begins_after: 0,
        share: 0.2,
    };
    let faults = [
        (Fault { name: "20 % more failures, new, ramped", ..fault }, true),
        (Fault { name: "20 % more failures, new, weight for all", share: 0.99, ..fault }, true),
        (Fault { name: "20 % more failures, old, 1 % of traffic", share: 0.01, ..fault }, false),
        (Fault { name: "20 % more failures, old, 20 % of traffic", ..fault }, false),
        (Fault { name: "20 % more failures, old, 99 % of traffic", share: 0.99, ..fault }, false),
        (Fault { name: "5 % more failures, old", added_failure_rate: 0.05, ..fault }, false),
        (
            Fault {
                name: "half the answers poor, old",
                added_failure_rate: 0.0,
                added_poor_rate: 0.5,
                ..fault
            },
            false,
        ),
        (
            Fault {
                name: "all fail on one upstream, old",
                added_failure_rate: 0.9,
                upstreams: 1,
                ..fault
            },
            false,
        ),
    ];
    let headings = ["fault", "held", "bad answers before the hold", "answers", "share of requests"];
    let mut report = Report::new("guard", &headings);
    for (fault, is_ramped) in faults {
        let outcomes: Vec<RolloutResult> =
            (0..SEEDS).map(|seed| run_rollout(seed, fault, 100_000, is_ramped)).collect();
        let spread = |figure: fn(&RolloutResult) -> f64| {
            let values: Vec<f64> = outcomes.iter().map(figure).collect();
            Spread::of(&values).to_string()
        };
        let held = outcomes.iter().filter(|outcome| outcome.is_held).count();
        report.row([
            fault.name.to_owned(),
            format!("{held} of {SEEDS}"),
            spread(|o| o.bad_responses),
            spread(|o| o.answers),
            spread(|o| o.exposure),
        ]);
    }
    report.finish();
    let held = (0..HEALTHY_ROLLOUTS).filter(|seed| has_false_hold(*seed)).count();
    let mut report = Report::new("false-holds", &["test", "healthy roll-outs", "held"]);
    report.row(["the guard's".to_owned(), HEALTHY_ROLLOUTS.to_string(), held.to_string()]);
    report.row([
        "10 bad among the last 100".to_owned(),
        HEALTHY_ROLLOUTS.to_string(),
        format!("{:.0}", threshold_false_holds() * HEALTHY_ROLLOUTS as f64),
    ]);
    report.finish();
}
