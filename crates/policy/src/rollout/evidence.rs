//! Whether a new version is worse than the one it follows.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;

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

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was answered; the first part of the answer came after this time.
    Answered(Duration),
    /// It failed, or its answer broke off.
    Failed,
}

/// The requests whose times are compared: those of one route, to one model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The route.
    pub route: RouteName,
    /// The model that was asked, if any.
    pub model: Option<ModelName>,
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
    fn old_version(&mut self, is_bad: bool) {
        self.old_answers += 1.0;
        self.old_bad += f64::from(u8::from(is_bad));
    }

    fn new_version(&mut self, is_bad: bool) {
        let bad = self.old_bad + PRIOR_RATE * PRIOR_ANSWERS;
        let base_rate = (bad / (self.old_answers + PRIOR_ANSWERS) + MARGIN).min(0.5);
        self.test.observe(1, u64::from(is_bad), base_rate);
    }
}

/// What one entry has seen of the old and the new version of a service.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    usual: HashMap<RequestKind, UsualTime>,
    failures: Comparison,
    slow_answers: Comparison,
    new_answers: u64,
}

impl RolloutEvidence {
    /// An attempt on the old version ended.
    pub fn old_version(&mut self, kind: &RequestKind, observation: Observation) {
        self.failures.old_version(observation == Observation::Failed);
        if let Observation::Answered(time) = observation {
            let log_ms = log_ms(time);
            let usual = self.usual.entry(kind.clone()).or_default();
            let is_slow = usual.is_slow(log_ms);
            usual.observe(log_ms);
            self.slow_answers.old_version(is_slow);
        }
    }

    /// An attempt on the new version ended.
    pub fn new_version(&mut self, kind: &RequestKind, observation: Observation) {
        self.new_answers += 1;
        self.failures.new_version(observation == Observation::Failed);
        if let Observation::Answered(time) = observation {
            let usual = self.usual.get(kind);
            let is_slow = usual.is_some_and(|usual| usual.is_slow(log_ms(time)));
            self.slow_answers.new_version(is_slow);
        }
    }

    /// Whether the new version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.failures.test.rejects(ALPHA) || self.slow_answers.test.rejects(ALPHA)
    }

    /// Answers of the new version so far.
    pub fn new_answers(&self) -> u64 {
        self.new_answers
    }
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).max(1.0).ln()
}
