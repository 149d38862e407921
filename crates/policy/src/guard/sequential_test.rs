//! A sequential test, which may be evaluated after every observation.

/// The increases of the failure rate that the test considers, with equal weights.
const RATE_INCREASES: [f64; 4] = [0.05, 0.1, 0.2, 0.4];
const MAX_RATE: f64 = 0.99;

/// The lower bound of each log ratio. It limits how much past good responses count against
/// the detection of a degradation.
const MIN_LOG_RATIO: f64 = -4.6;

/// A mixture of likelihood ratios of the base rate plus an increase against the base rate.
///
/// Without a lower bound, and with a true rate of at most the base rate, its value is a
/// supermartingale that starts at 1 and ever reaches `1 / alpha` with a probability of at
/// most `alpha` (Ville's inequality). The lower bound, as in a CUSUM chart, detects the
/// degradation of an established version as fast as that of a new one, at the cost of more
/// false holds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SequentialTest {
    log_ratios: [f64; RATE_INCREASES.len()],
}

impl SequentialTest {
    /// Records `count` observations, `bad` of them bad, against a base rate.
    pub fn observe(&mut self, count: u64, bad: u64, base_rate: f64) {
        let good = count.saturating_sub(bad) as f64;
        let bad = bad as f64;
        for (log_ratio, extra) in self.log_ratios.iter_mut().zip(RATE_INCREASES) {
            let rate = (base_rate + extra).min(MAX_RATE);
            *log_ratio += bad * (rate / base_rate).ln();
            *log_ratio += good * ((1.0 - rate) / (1.0 - base_rate)).ln();
            *log_ratio = log_ratio.max(MIN_LOG_RATIO);
        }
    }

    /// The logarithm of the value of the mixture.
    pub fn log_value(&self) -> f64 {
        let largest = self.log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.log_ratios.iter().map(|l| (l - largest).exp()).sum();
        largest + (sum / RATE_INCREASES.len() as f64).ln()
    }

    /// Whether the test rejects the hypothesis that the rate is at most the base rate.
    pub fn rejects(&self, alpha: f64) -> bool {
        self.log_value() >= (1.0 / alpha).ln()
    }
}
