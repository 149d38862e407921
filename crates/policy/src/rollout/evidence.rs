//! Whether a new version is worse than the one it follows.

use std::collections::HashMap;
use std::time::Duration;

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

/// An answer that takes so many times the old version's usual time counts as bad.
const SLOW_FACTOR: f64 = 3.0;

/// Answers of the old version on a route before its usual time is believed.
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

#[derive(Debug, Default)]
struct UsualTime {
    answers: u64,
    mean_ms: f64,
}

impl UsualTime {
    fn observe(&mut self, time_ms: f64) {
        self.answers += 1;
        let weight = NEWEST_TIME_WEIGHT.max(1.0 / self.answers as f64);
        self.mean_ms += weight * (time_ms - self.mean_ms);
    }

    fn is_slow(&self, time_ms: f64) -> bool {
        self.answers >= MIN_TIMED && time_ms > SLOW_FACTOR * self.mean_ms
    }
}

/// What one entry has seen of the old and the new version of a service.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    usual: HashMap<RouteName, UsualTime>,
    old_answers: f64,
    old_bad: f64,
    new_answers: u64,
    test: SequentialTest,
}

impl RolloutEvidence {
    /// An attempt on the old version ended.
    pub fn old_version(&mut self, route: &RouteName, observation: Observation) {
        let is_bad = self.is_bad_answer(route, observation);
        self.old_answers += 1.0;
        self.old_bad += f64::from(u8::from(is_bad));
        if let Observation::Answered(time) = observation {
            let usual = self.usual.entry(route.clone()).or_default();
            usual.observe(time.as_secs_f64() * 1_000.0);
        }
    }

    /// An attempt on the new version ended.
    pub fn new_version(&mut self, route: &RouteName, observation: Observation) {
        let is_bad = self.is_bad_answer(route, observation);
        self.new_answers += 1;
        self.test.observe(1, u64::from(is_bad), self.base_rate());
    }

    /// Whether the new version is worse than the old one.
    pub fn is_bad(&self) -> bool {
        self.test.rejects(ALPHA)
    }

    /// Answers of the new version so far.
    pub fn new_answers(&self) -> u64 {
        self.new_answers
    }

    fn is_bad_answer(&self, route: &RouteName, observation: Observation) -> bool {
        match observation {
            Observation::Failed => true,
            Observation::Answered(time) => self
                .usual
                .get(route)
                .is_some_and(|usual| usual.is_slow(time.as_secs_f64() * 1_000.0)),
        }
    }

    fn base_rate(&self) -> f64 {
        let bad = self.old_bad + PRIOR_RATE * PRIOR_ANSWERS;
        (bad / (self.old_answers + PRIOR_ANSWERS) + MARGIN).min(0.5)
    }
}
