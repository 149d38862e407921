//! Whether bad answers of one kind come more often from the new version than from the old one.

use crate::guard::SequentialTest;

/// How unlikely of a good version the evidence must be before it is called bad.
const ALPHA: f64 = 0.000_1;

/// The rate assumed of the old version before anything is known of it, and how many answers
/// the assumption counts as.
const PRIOR_RATE: f64 = 0.02;
const PRIOR_ANSWERS: f64 = 30.0;

/// How much worse than the old version a version may be.
const MARGIN: f64 = 0.03;

/// The old version's rate of one kind of bad answer, and the test of the new version.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    old_answers: f64,
    old_bad: f64,
    test: SequentialTest,
}

impl Comparison {
    /// The strength from which on the new version is worse.
    pub(super) fn needed_strength() -> f64 {
        -ALPHA.log10()
    }

    pub(super) fn old_version(&mut self, answers: u64, bad: u64) {
        self.old_answers += answers as f64;
        self.old_bad += bad as f64;
    }

    pub(super) fn new_version(&mut self, answers: u64, bad: u64) {
        let old_bad = self.old_bad + PRIOR_RATE * PRIOR_ANSWERS;
        let base_rate = (old_bad / (self.old_answers + PRIOR_ANSWERS) + MARGIN).min(0.5);
        self.test.observe(answers, bad, base_rate);
    }

    /// The decimal logarithm of how much likelier the answers are of a worse version than of a
    /// good one.
    pub(super) fn strength(&self) -> f64 {
        self.test.log_value() / std::f64::consts::LN_10
    }

    pub(super) fn is_worse(&self) -> bool {
        self.test.rejects(ALPHA)
    }
}
