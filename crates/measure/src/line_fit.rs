//! Linear regression.

/// A least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// Value at `x = 0`.
    pub base: f64,
    /// Increase for each unit of `x`.
    pub slope: f64,
    /// Largest absolute residual, divided by the largest absolute `y`.
    pub max_relative_residual: f64,
}

impl LineFit {
    /// Fits a line to points `(x, y)`.
    ///
    /// # Panics
    /// Panics with fewer than two points.
    pub fn through(points: &[(f64, f64)]) -> Self {
        assert!(points.len() >= 2, "a line needs two points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::EPSILON, f64::max);
        let distance = |(x, y): &(f64, f64)| (y - (base + slope * x)).abs();
        let worst = points.iter().map(distance).fold(0.0, f64::max);
        Self { base, slope, max_relative_residual: worst / largest }
    }

    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
