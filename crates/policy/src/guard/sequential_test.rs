//! A test that may be looked at after every observation.

/// By how much worse a bad version is assumed to be; the test weighs them equally.
const EXTRA_RATES: [f64; 4] = [0.05, 0.1, 0.2, 0.4];
const MAX_RATE: f64 = 0.99;

/// Good answers of the past count against a change for the worse no more than this.
const LOWEST_LOG_RATIO: f64 = -4.6;

/// A mixture of likelihood ratios of "worse by so much" against "as good as the base
/// rate". Without a lower bound, under the base rate or a better one, its value is a
/// supermartingale that starts at 1 and ever reaches `1 / alpha` with a probability of
/// at most `alpha` (Ville's inequality), whenever one looks. The lower bound, as in a
/// CUSUM chart, lets a version that has been good for long be found out as fast as a
/// new one; the false holds it costs are measured.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SequentialTest {
    log_ratios: [f64; EXTRA_RATES.len()],
}

impl SequentialTest {
    /// Takes in `count` observations, `bad` of them bad, against a base rate.
    pub fn observe(&mut self, count: u64, bad: u64, base_rate: f64) {
        let good = count.saturating_sub(bad) as f64;
        let bad = bad as f64;
        for (log_ratio, extra) in self.log_ratios.iter_mut().zip(EXTRA_RATES) {
            let rate = (base_rate + extra).min(MAX_RATE);
            *log_ratio += bad * (rate / base_rate).ln();
            *log_ratio += good * ((1.0 - rate) / (1.0 - base_rate)).ln();
            *log_ratio = log_ratio.max(LOWEST_LOG_RATIO);
        }
    }

    /// The logarithm of the mixture's value.
    pub fn log_value(&self) -> f64 {
        let largest = self.log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.log_ratios.iter().map(|l| (l - largest).exp()).sum();
        largest + (sum / EXTRA_RATES.len() as f64).ln()
    }

    /// Whether the observations are too bad to be chance.
    pub fn rejects(&self, alpha: f64) -> bool {
        self.log_value() >= (1.0 / alpha).ln()
    }
}
