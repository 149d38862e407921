//! Whether a new version is worse than the one it follows.

use std::collections::HashMap;
use std::f64::consts::LN_10;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;

use super::EvidenceStanding;
use super::EvidenceTest;
use super::EvidenceTotals;
use super::MeanLoad;
use super::VersionCounts;
use crate::guard::SequentialTest;

/// How unlikely of a good version the evidence must be before it is called bad.
const ALPHA: f64 = 0.000_1;

/// The failure rate assumed of the old version before anything is known of it, and how
/// many answers the assumption counts as.
const PRIOR_RATE: f64 = 0.02;
const PRIOR_ANSWERS: f64 = 30.0;

/// How much worse than the old version a version may be.
const MARGIN: f64 = 0.03;

/// An answer that takes so many times the old version's usual time counts as slow. The old
/// version has slow answers too; what counts is whether the new one has more of them.
const SLOW_FACTOR: f64 = 2.5;

/// Answers of the old version to a kind of request before its usual time is believed.
const MIN_TIMED: u64 = 10;

/// The weight of the newest time in the usual time.
const NEWEST_TIME_WEIGHT: f64 = 0.05;

/// What an attempt has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was answered; the first part of the answer came after this time.
    Answered(Duration),
    /// It is not answered yet, after the time from which on an answer is slow. Told at
    /// once: slow answers come late, and a verdict cannot wait for them.
    Overdue,
    /// It was answered after it had been overdue.
    AnsweredOverdue,
    /// So much time passed between the first two parts of a stream.
    Paced(Duration),
    /// It failed, or its answer broke off.
    Failed,
}

/// Which time is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TimedPart {
    /// From sending the request to the first part of its answer.
    First,
    /// From the first to the second part of a stream: how fast an engine generates.
    Second,
}

/// The requests whose times are compared: those of one route, to one model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The route.
    pub route: RouteName,
    /// The model that was asked, if any.
    pub model: Option<ModelName>,
    /// Which time it is.
    pub part: TimedPart,
}

/// The geometric mean of times: a few very long ones hardly change it.
#[derive(Debug, Default)]
struct UsualTime {
    answers: u64,
    mean_log_ms: f64,
}

impl UsualTime {
    fn observe(&mut self, log_ms: f64) {
        self.answers += 1;
        let weight = NEWEST_TIME_WEIGHT.max(1.0 / self.answers as f64);
        self.mean_log_ms += weight * (log_ms - self.mean_log_ms);
    }

    fn is_slow(&self, log_ms: f64) -> bool {
        self.answers >= MIN_TIMED && log_ms - self.mean_log_ms > SLOW_FACTOR.ln()
    }
}

/// The old version's rate of one kind of bad answer, and the test of the new version.
#[derive(Debug, Default)]
struct Comparison {
    old_answers: f64,
    old_bad: f64,
    test: SequentialTest,
}

impl Comparison {
    fn old_version(&mut self, answers: u64, bad: u64) {
        self.old_answers += answers as f64;
        self.old_bad += bad as f64;
    }

    fn new_version(&mut self, answers: u64, bad: u64) {
        let old_bad = self.old_bad + PRIOR_RATE * PRIOR_ANSWERS;
        let base_rate = (old_bad / (self.old_answers + PRIOR_ANSWERS) + MARGIN).min(0.5);
        self.test.observe(answers, bad, base_rate);
    }
}

/// What is known of the old and the new version of a service: what this entry has seen, and
/// what others have counted.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    usual: HashMap<RequestKind, UsualTime>,
    failures: Comparison,
    slow_answers: Comparison,
    own: EvidenceTotals,
    all: EvidenceTotals,
    old_load: MeanLoad,
    new_load: MeanLoad,
}

impl RolloutEvidence {
    /// What an attempt on the old version has shown. `in_progress` is how many requests the
    /// upstream had to do.
    pub fn old_version(&mut self, kind: &RequestKind, in_progress: u32, observation: Observation) {
        let old = self.counts_of(kind, observation);
        if old.timed > 0 {
            self.old_load.observe(in_progress);
        }
        if let Observation::Answered(time) | Observation::Paced(time) = observation {
            self.usual.entry(kind.clone()).or_default().observe(log_ms(time));
        }
        self.counted_here(EvidenceTotals { old, ..EvidenceTotals::default() });
    }

    /// What an attempt on the new version has shown.
    pub fn new_version(&mut self, kind: &RequestKind, in_progress: u32, observation: Observation) {
        let new = self.counts_of(kind, observation);
        if new.timed > 0 {
            self.new_load.observe(in_progress);
        }
        self.counted_here(EvidenceTotals { new, ..EvidenceTotals::default() });
    }

    /// The time from which on an answer is slow; none while that is not known.
    pub fn slow_after(&self, kind: &RequestKind) -> Option<Duration> {
        let usual = self.usual.get(kind).filter(|usual| usual.answers >= MIN_TIMED)?;
        Some(Duration::from_secs_f64(usual.mean_log_ms.exp() * SLOW_FACTOR / 1_000.0))
    }

    /// Another entry has counted these, which were not counted here before.
    pub fn counted_elsewhere(&mut self, counts: EvidenceTotals) {
        self.all.add(counts);
        self.failures.old_version(counts.old.answers, counts.old.failures);
        self.slow_answers.old_version(counts.old.timed, counts.old.slow);
        self.failures.new_version(counts.new.answers, counts.new.failures);
        self.slow_answers.new_version(counts.new.timed, counts.new.slow);
    }

    /// Whether the new version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.failures.test.rejects(ALPHA) || self.slow_answers.test.rejects(ALPHA)
    }

    /// How near the evidence is to a verdict.
    pub fn standing(&self) -> EvidenceStanding {
        let strength = |comparison: &Comparison| comparison.test.log_value() / LN_10;
        EvidenceStanding {
            own: self.own,
            all: self.all,
            strengths: vec![
                (EvidenceTest::Failures, strength(&self.failures)),
                (EvidenceTest::SlowAnswers, strength(&self.slow_answers)),
            ],
            needed_strength: -ALPHA.log10(),
            old_load: self.old_load,
            new_load: self.new_load,
        }
    }

    /// What this entry has counted itself.
    pub fn own(&self) -> EvidenceTotals {
        self.own
    }

    fn counted_here(&mut self, counts: EvidenceTotals) {
        self.own.add(counts);
        self.counted_elsewhere(counts);
    }

    /// What an observation of either version counts as, by the usual times so far.
    fn counts_of(&self, kind: &RequestKind, observation: Observation) -> VersionCounts {
        let nothing = VersionCounts::default();
        let slow = |time| u64::from(self.is_slow(kind, time));
        match observation {
            Observation::Failed => VersionCounts { answers: 1, failures: 1, ..nothing },
            Observation::Overdue => VersionCounts { timed: 1, slow: 1, ..nothing },
            Observation::AnsweredOverdue => VersionCounts { answers: 1, ..nothing },
            Observation::Answered(time) => {
                VersionCounts { answers: 1, timed: 1, slow: slow(time), ..nothing }
            }
            Observation::Paced(time) => VersionCounts { timed: 1, slow: slow(time), ..nothing },
        }
    }

    fn is_slow(&self, kind: &RequestKind, time: Duration) -> bool {
        self.usual.get(kind).is_some_and(|usual| usual.is_slow(log_ms(time)))
    }
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).max(1.0).ln()
}
