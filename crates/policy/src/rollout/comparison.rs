//! Compares the rates of one kind of bad response between the old and the new version.

use crate::guard::SequentialTest;

/// The significance level: the new version is called worse only if a good version would produce such
/// counts with a lower probability.
const ALPHA: f64 = 0.000_1;

/// The prior rate of bad responses of the old version, and the number of responses it counts as.
const PRIOR_RATE: f64 = 0.02;
const PRIOR_RESPONSES: f64 = 30.0;

/// By how much the rate of a new version may exceed that of the old one.
pub(super) const ALLOWED_EXCESS: f64 = 0.03;

/// The highest rate with which a new version is compared.
const MAX_BASE_RATE: f64 = 0.5;

/// The old version's rate of one kind of bad response, and the sequential test of the new version.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    old_answers: f64,
    old_bad: f64,
    test: SequentialTest,
}

impl Comparison {
    /// The strength from which on the new version counts as worse.
    pub(super) fn needed_strength() -> f64 {
        -ALPHA.log10()
    }

    pub(super) fn old_version(&mut self, answers: u64, bad: u64) {
        self.old_answers += answers as f64;
        self.old_bad += bad as f64;
    }

    pub(super) fn new_version(&mut self, answers: u64, bad: u64) {
        let old_bad = self.old_bad + PRIOR_RATE * PRIOR_RESPONSES;
        let base_rate =
            (old_bad / (self.old_answers + PRIOR_RESPONSES) + ALLOWED_EXCESS).min(MAX_BASE_RATE);
        self.test.observe(answers, bad, base_rate);
    }

    /// The decimal logarithm of the likelihood ratio between a worse version and a good one.
    pub(super) fn strength(&self) -> f64 {
        self.test.log_value() / std::f64::consts::LN_10
    }

    /// Whether the old version's rate can be told from the prior, and is not so high that the highest
    /// base rate would be below it.
    pub(super) fn is_old_rate_known(&self) -> bool {
        let is_low = self.old_bad < (MAX_BASE_RATE - ALLOWED_EXCESS) * self.old_answers;
        self.old_answers >= PRIOR_RESPONSES && is_low
    }
}
