//! How far predictions are from what came.

use std::time::Duration;

const SMOOTHING: f64 = 0.05;
/// Mean distances from the mean error that nearly all errors lie within.
const SPREADS_OF_MARGIN: f64 = 3.0;

/// How far predictions are from what came, in the mean and in spread.
#[derive(Debug, Clone, Default)]
pub struct PredictionError {
    mean_s: f64,
    spread_s: f64,
}

impl PredictionError {
    /// Takes in a prediction and what came.
    pub fn observe(&mut self, predicted: Duration, came: Duration) {
        let error = came.as_secs_f64() - predicted.as_secs_f64();
        let distance = (error - self.mean_s).abs();
        self.mean_s += SMOOTHING * (error - self.mean_s);
        self.spread_s += SMOOTHING * (distance - self.spread_s);
    }

    /// What to add to a prediction so that nearly all come within it.
    pub fn margin(&self) -> Duration {
        let margin = self.mean_s + SPREADS_OF_MARGIN * self.spread_s;
        Duration::from_secs_f64(margin.max(0.0))
    }
}
