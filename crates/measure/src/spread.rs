//! Medians and spreads.

use std::fmt;

/// Minimum, median and maximum of one figure over several seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The smallest.
    pub min: f64,
    /// The middle one.
    pub median: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// The spread of some figures.
    ///
    /// # Panics
    /// Panics when there are none.
    pub fn of(figures: &[f64]) -> Self {
        let mut sorted = figures.to_vec();
        sorted.sort_by(f64::total_cmp);
        Self { min: sorted[0], median: sorted[sorted.len() / 2], max: sorted[sorted.len() - 1] }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} ({:.3}..{:.3})", self.median, self.min, self.max)
    }
}

/// The value that a part `quantile` of the figures does not exceed; zero without figures.
pub fn percentile(figures: &mut [f64], quantile: f64) -> f64 {
    if figures.is_empty() {
        return 0.0;
    }
    figures.sort_by(f64::total_cmp);
    let at = (quantile * (figures.len() - 1) as f64).round() as usize;
    figures[at]
}
