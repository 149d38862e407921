//! Compares the rates of one kind of bad response between the old and the new version.

use super::AnswerCounts;
use crate::guard::SequentialTest;

/// The significance level: the new version is called worse only if a good version would produce such
/// counts with a lower probability.
const ALPHA: f64 = 0.000_1;

/// The prior rate of bad responses of the old version, and the number of responses it counts as.
pub(super) const PRIOR_RATE: f64 = 0.02;
const PRIOR_RESPONSES: f64 = 30.0;

/// By how much the rate of a new version may exceed that of the old one.
pub(super) const ALLOWED_EXCESS: f64 = 0.03;

/// The highest rate with which a new version is compared.
const MAX_BASE_RATE: f64 = 0.5;

/// The old version's rate of one kind of bad response, and the sequential test of the new version.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    old: AnswerCounts,
    test: SequentialTest,
}

impl Comparison {
    /// The strength from which on the new version counts as worse.
    pub(super) fn needed_strength() -> f64 {
        -ALPHA.log10()
    }

    pub(super) fn old_version(&mut self, answers: u64, bad: u64) {
        self.old.add(AnswerCounts { answers, failures: bad });
    }

    pub(super) fn new_version(&mut self, answers: u64, bad: u64) {
        let old_rate = self.old.failure_rate(PRIOR_RATE, PRIOR_RESPONSES);
        let base_rate = (old_rate + ALLOWED_EXCESS).min(MAX_BASE_RATE);
        self.test.observe(answers, bad, base_rate);
    }

    /// The decimal logarithm of the likelihood ratio between a worse version and a good one.
    pub(super) fn strength(&self) -> f64 {
        self.test.log_value() / std::f64::consts::LN_10
    }

    /// Whether the old version's rate can be told from the prior, and is not so high that the highest
    /// base rate would be below it.
    pub(super) fn is_old_rate_known(&self) -> bool {
        let AnswerCounts { answers, failures } = self.old;
        let is_low = (failures as f64) < (MAX_BASE_RATE - ALLOWED_EXCESS) * answers as f64;
        answers as f64 >= PRIOR_RESPONSES && is_low
    }
}
