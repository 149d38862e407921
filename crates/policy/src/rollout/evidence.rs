//! Whether a new version is worse than the one it follows.

use std::collections::HashMap;
use std::time::Duration;

use super::BaselineLatency;
use super::EvidenceStatus;
use super::EvidenceTest;
use super::EvidenceTotals;
use super::LatencyBaseline;
use super::LatencyKind;
use super::MeanLoad;
use super::Observation;
use super::RequestKind;
use super::TimedCounts;
use super::VersionCounts;
use super::comparison::Comparison;

/// An answer that takes so many times the old version's usual time at the same load counts as
/// slow. The old version has slow answers too; what counts is whether the new one has more of
/// them. Of recorded paces of three deployments 0.01 to 0.11 of the old version's were longer
/// than that, up to 0.06 of a good new one's, and 0.6 to 1 of one three times as slow.
const SLOW_FACTOR: f64 = 2.0;

/// An upstream with fewer requests in progress stands for those of a new version, which gets few
/// requests: of recorded streams on such upstreams 9 of 10 had 1 to 3 requests in progress.
const IDLE_LOAD: f64 = 4.0;

/// What is known of the old and the new version of a service: what this entry has seen, and
/// what others have counted.
///
/// First parts and paces are tested apart: a version that generates slowly answers the first
/// part of a short prompt in time, and twice as many good observations would hide the bad ones.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    usual: HashMap<RequestKind, LatencyBaseline>,
    failures: Comparison,
    first_parts: Comparison,
    paces: Comparison,
    own: EvidenceTotals,
    all: EvidenceTotals,
    old_load: MeanLoad,
    new_load: MeanLoad,
}

impl RolloutEvidence {
    /// Another new version is to be judged against the same old one, whose usual times are known.
    pub fn for_next_order(self) -> Self {
        Self { usual: self.usual, ..Self::default() }
    }

    /// What an attempt on the old version has shown, at the load that the kind is compared by.
    pub fn old_version(&mut self, kind: &RequestKind, load: u32, observation: Observation) {
        let old = self.counts_of(kind, load, observation);
        // Those that were overdue too: what is usual may have changed.
        if let Observation::Answered(time)
        | Observation::AnsweredOverdue(time)
        | Observation::Paced(time) = observation
        {
            self.usual.entry(kind.clone()).or_default().observe(load, time);
        }
        if old.paces.timed > 0 {
            self.old_load.observe(load);
        }
        self.counted_here(EvidenceTotals { old, ..EvidenceTotals::default() });
    }

    /// What an attempt on the new version has shown, at the load that the kind is compared by.
    pub fn new_version(&mut self, kind: &RequestKind, load: u32, observation: Observation) {
        let new = self.counts_of(kind, load, observation);
        if new.paces.timed > 0 {
            self.new_load.observe(load);
        }
        self.counted_here(EvidenceTotals { new, ..EvidenceTotals::default() });
    }

    /// The time from which on an answer is slow; none while that is not known.
    pub fn slow_threshold(&self, kind: &RequestKind, load: u32) -> Option<Duration> {
        Some(self.usual.get(kind)?.at(load)?.mul_f64(SLOW_FACTOR))
    }

    /// Whether the old version was never seen with as little to do as the new one has: in a burst
    /// from an entry's first second on, all of its upstreams are busy. Nothing that is known then
    /// can show that a new version is slow, so one of them has to rest, as a control.
    pub fn needs_control(&self) -> bool {
        let paces = self.usual.iter().filter(|(kind, _)| kind.part == LatencyKind::Pause);
        let most_asked = paces.map(|(_, usual)| usual).max_by_key(|usual| usual.answers());
        most_asked.is_some_and(|usual| !usual.is_known_below(IDLE_LOAD))
    }

    /// The old version's usual times, to be told to others.
    pub fn baseline_updates(&self) -> impl Iterator<Item = (&RequestKind, BaselineLatency)> {
        self.usual.iter().flat_map(|(kind, usual)| usual.known().map(move |known| (kind, known)))
    }

    /// Another entry tells a usual time of the old version.
    pub fn apply_baseline_update(&mut self, kind: RequestKind, known: BaselineLatency) {
        self.usual.entry(kind).or_default().apply_peer_update(known);
    }

    /// Another entry has counted these, which were not counted here before.
    pub fn add_peer_counts(&mut self, counts: EvidenceTotals) {
        self.all.add(counts);
        let EvidenceTotals { old, new } = counts;
        self.failures.old_version(old.answers, old.failures);
        self.first_parts.old_version(old.first_parts.timed, old.first_parts.slow);
        self.paces.old_version(old.paces.timed, old.paces.slow);
        self.failures.new_version(new.answers, new.failures);
        self.first_parts.new_version(new.first_parts.timed, new.first_parts.slow);
        self.paces.new_version(new.paces.timed, new.paces.slow);
    }

    /// Whether the new version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.tests().iter().any(|(_, comparison)| comparison.is_worse())
    }

    /// How near the evidence is to a verdict.
    pub fn status(&self) -> EvidenceStatus {
        let strengths = self.tests().map(|(test, comparison)| (test, comparison.strength()));
        EvidenceStatus {
            own: self.own,
            all: self.all,
            strengths: strengths.to_vec(),
            needed_strength: Comparison::needed_strength(),
            old_load: self.old_load,
            new_load: self.new_load,
        }
    }

    /// What this entry has counted itself.
    pub fn own(&self) -> EvidenceTotals {
        self.own
    }

    fn tests(&self) -> [(EvidenceTest, &Comparison); 3] {
        [
            (EvidenceTest::Failures, &self.failures),
            (EvidenceTest::FirstParts, &self.first_parts),
            (EvidenceTest::Paces, &self.paces),
        ]
    }

    fn counted_here(&mut self, counts: EvidenceTotals) {
        self.own.add(counts);
        self.add_peer_counts(counts);
    }

    /// What an observation of either version counts as, by the usual times so far.
    fn counts_of(&self, kind: &RequestKind, load: u32, observation: Observation) -> VersionCounts {
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

    /// Where the usual time is not known, a time says nothing.
    fn timed(&self, kind: &RequestKind, load: u32, time: Duration) -> TimedCounts {
        let slow_threshold = self.slow_threshold(kind, load);
        slow_threshold.map_or_else(TimedCounts::default, |slow| TimedCounts::one(time > slow))
    }
}
