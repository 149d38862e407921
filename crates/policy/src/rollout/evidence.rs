//! Decides whether a new version is worse than the old one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::RouteName;

use super::BaselineLatency;
use super::EvidenceStatus;
use super::EvidenceTest;
use super::EvidenceTotals;
use super::Judgement;
use super::LatencyBaseline;
use super::LatencyKind;
use super::MeanLoad;
use super::Observation;
use super::RequestKind;
use super::RouteCounts;
use super::TimedCounts;
use super::VersionCounts;
use super::comparison::Comparison;
use super::harm::HarmEvidence;
use super::route_failures::RouteFailures;

/// A response that takes this many times the old version's baseline latency at the same load counts as
/// slow. The old version has slow responses too; what matters is whether the new one has more of them.
/// In recorded token intervals of three deployments, 0.01 to 0.11 of the old version's exceeded this
/// factor, up to 0.06 of a good new version's, and 0.6 to 1 of a new version's that was three times as
/// slow.
const SLOW_FACTOR: f64 = 2.0;

/// The lowest such factor for token intervals, at a load at which the old version's hardly vary. An engine that generates
/// all tokens 1.6 times as slowly has no interval of twice the baseline.
const MIN_SLOW_FACTOR: f64 = 1.15;

/// An upstream with fewer requests in progress is comparable to those of a new version, which gets few
/// requests: 9 of 10 recorded streams on such upstreams ran with 1 to 3 requests in progress.
const IDLE_LOAD: f64 = 4.0;

/// Baselines and counts of the old and the new version of a service, from local requests and from
/// peers.
///
/// First chunks and token intervals are tested separately. A version that generates slowly still sends
/// the first chunk of a short prompt in time, and twice as many good observations would hide the bad
/// ones.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    baselines: HashMap<RequestKind, LatencyBaseline>,
    failures: Comparison,
    route_failures: RouteFailures,
    first_parts: Comparison,
    paces: Comparison,
    harm: HarmEvidence,
    own: EvidenceTotals,
    all: EvidenceTotals,
    old_load: MeanLoad,
    new_load: MeanLoad,
}

impl RolloutEvidence {
    /// Starts the evidence of another new version against the same old one, whose baselines are kept.
    pub fn for_next_order(self) -> Self {
        Self { baselines: self.baselines, ..Self::default() }
    }

    /// Adds the result of an attempt on the old version, at the load by which requests of this kind are
    /// compared.
    pub fn old_version(&mut self, kind: &RequestKind, load: u32, observation: Observation) {
        let old = self.classify(kind, load, observation);
        // Overdue responses are included, as the baseline may have changed.
        if let Observation::Answered(time)
        | Observation::AnsweredOverdue(time)
        | Observation::Paced(time) = observation
        {
            self.baselines.entry(kind.clone()).or_default().observe(load, time);
        }
        if old.paces.timed > 0 {
            self.old_load.observe(load);
        }
        let counts = RouteCounts { old: old.responses(), ..RouteCounts::default() };
        self.add_local_counts(EvidenceTotals {
            old,
            routes: of_route(kind, counts),
            ..EvidenceTotals::default()
        });
    }

    /// Adds the result of an attempt on the new version, at the load by which requests of this kind are
    /// compared.
    pub fn new_version(&mut self, kind: &RequestKind, load: u32, observation: Observation) {
        let new = self.classify(kind, load, observation);
        if new.paces.timed > 0 {
            self.new_load.observe(load);
        }
        let counts = RouteCounts { new: new.responses(), ..RouteCounts::default() };
        self.add_local_counts(EvidenceTotals {
            new,
            routes: of_route(kind, counts),
            ..EvidenceTotals::default()
        });
    }

    /// The latency above which a response counts as slow; none while there is no baseline.
    pub fn slow_threshold(&self, kind: &RequestKind, load: u32) -> Option<Duration> {
        let baseline = self.baselines.get(kind)?;
        Some(baseline.at(load)?.mul_f64(slow_factor(kind, baseline, load)))
    }

    /// Whether the old version was never observed at a load as low as the new one's. If a burst lasts
    /// since this gateway started, all of its upstreams are busy and no known baseline can show that a
    /// new version is slow, so one upstream has to be kept nearly idle, as a control.
    pub fn needs_control(&self) -> bool {
        let paces = self.baselines.iter().filter(|(kind, _)| kind.part == LatencyKind::Pause);
        let most_used =
            paces.map(|(_, baseline)| baseline).max_by_key(|baseline| baseline.answers());
        most_used.is_some_and(|baseline| !baseline.has_baseline_below(IDLE_LOAD))
    }

    /// The old version's baselines, to send to peers.
    pub fn baseline_updates(&self) -> impl Iterator<Item = (&RequestKind, BaselineLatency)> {
        self.baselines
            .iter()
            .flat_map(|(kind, baseline)| baseline.known().map(move |known| (kind, known)))
    }

    /// Merges a baseline of the old version that a peer sent.
    pub fn apply_baseline_update(&mut self, kind: RequestKind, known: BaselineLatency) {
        self.baselines.entry(kind).or_default().apply_peer_update(known);
    }

    /// Adds counts of a peer, which were not included before.
    pub fn add_peer_counts(&mut self, counts: &EvidenceTotals) {
        self.all.add(counts);
        self.harm.add(counts);
        let EvidenceTotals { old, new, routes } = counts;
        self.failures.old_version(old.answers, old.failures);
        self.first_parts.old_version(old.first_parts.timed, old.first_parts.slow);
        self.paces.old_version(old.paces.timed, old.paces.slow);
        self.failures.new_version(new.answers, new.failures);
        self.first_parts.new_version(new.first_parts.timed, new.first_parts.slow);
        self.paces.new_version(new.paces.timed, new.paces.slow);
        for (route, counts) in routes {
            self.route_failures.observe(route, *counts);
        }
    }

    /// Whether the new version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.strengths().iter().any(|(_, strength)| *strength >= Comparison::needed_strength())
    }

    /// What is to be thought of the new version if the service gets this many requests in the ordered time;
    /// none if that is not known.
    pub fn judgement(&self, requests: Option<f64>) -> Judgement {
        if self.is_bad() {
            return Judgement::Worse;
        }
        let greatest = |of_tests: [(EvidenceTest, f64); 4]| {
            of_tests.into_iter().map(|(_, value)| value).fold(0.0, f64::max)
        };
        Judgement::of(greatest(self.harm.expected(requests)), greatest(self.strengths()))
    }

    /// How close the tests are to a decision if the service gets this many requests in the ordered time;
    /// none if that is not known.
    pub fn status(&self, requests: Option<f64>) -> EvidenceStatus {
        EvidenceStatus {
            own: self.own.clone(),
            all: self.all.clone(),
            strengths: self.strengths().to_vec(),
            needed_strength: Comparison::needed_strength(),
            harms: self.harm.expected(requests).to_vec(),
            judgement: self.judgement(requests),
            old_load: self.old_load,
            new_load: self.new_load,
        }
    }

    /// The counts of this gateway.
    pub fn own(&self) -> &EvidenceTotals {
        &self.own
    }

    /// The counts of all gateways, as far as they are known.
    pub fn all(&self) -> &EvidenceTotals {
        &self.all
    }

    fn strengths(&self) -> [(EvidenceTest, f64); 4] {
        [
            (EvidenceTest::Failures, self.failures.strength()),
            (EvidenceTest::RouteFailures, self.route_failures.strength()),
            (EvidenceTest::FirstParts, self.first_parts.strength()),
            (EvidenceTest::Paces, self.paces.strength()),
        ]
    }

    fn add_local_counts(&mut self, counts: EvidenceTotals) {
        self.own.add(&counts);
        self.add_peer_counts(&counts);
    }

    /// The counts of one observation of either version, by the baselines so far.
    fn classify(&self, kind: &RequestKind, load: u32, observation: Observation) -> VersionCounts {
        let nothing = VersionCounts::default();
        let timed = |time| self.timed(kind, load, time);
        match observation {
            Observation::Failed => VersionCounts { answers: 1, failures: 1, ..nothing },
            Observation::Overdue => {
                VersionCounts { first_parts: TimedCounts::one(true), ..nothing }
            }
            Observation::AnsweredOverdue(_) => VersionCounts { answers: 1, ..nothing },
            Observation::Answered(time) => {
                VersionCounts { answers: 1, first_parts: timed(time), ..nothing }
            }
            Observation::Paced(time) => VersionCounts { paces: timed(time), ..nothing },
        }
    }

    /// Without a baseline at the load, a latency counts as nothing.
    fn timed(&self, kind: &RequestKind, load: u32, time: Duration) -> TimedCounts {
        let slow_threshold = self.slow_threshold(kind, load);
        slow_threshold.map_or_else(TimedCounts::default, |slow| TimedCounts::one(time > slow))
    }
}

/// How many times the baseline a latency must exceed to count as slow: less than `SLOW_FACTOR` where the old version was
/// observed at the same load, and its token intervals vary by less.
fn slow_factor(kind: &RequestKind, baseline: &LatencyBaseline, load: u32) -> f64 {
    match (kind.part, baseline.usual_spread(load)) {
        (LatencyKind::Pause, Some(spread)) => spread.clamp(MIN_SLOW_FACTOR, SLOW_FACTOR),
        _ => SLOW_FACTOR,
    }
}

/// Counts of the route of a kind of requests; nothing if it has none or there is no response.
fn of_route(kind: &RequestKind, counts: RouteCounts) -> BTreeMap<RouteName, RouteCounts> {
    let route = kind.route.iter().filter(|_| counts != RouteCounts::default());
    route.map(|route| (route.clone(), counts)).collect()
}
