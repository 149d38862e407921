//! Summary statistics.

use std::fmt;

/// Minimum, median and maximum of a value over several seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median; of an even number of values, the larger of the middle two.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Summarizes the values.
    ///
    /// # Panics
    /// Panics if `figures` is empty.
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

/// Returns the value at `quantile` (0 to 1) by the nearest rank, or zero if `figures` is empty. Sorts `figures`.
pub fn percentile(figures: &mut [f64], quantile: f64) -> f64 {
    if figures.is_empty() {
        return 0.0;
    }
    figures.sort_by(f64::total_cmp);
    let at = (quantile * (figures.len() - 1) as f64).round() as usize;
    figures[at]
}
