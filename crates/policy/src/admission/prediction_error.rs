//! Error statistics of predicted durations.

use std::time::Duration;

const SMOOTHING: f64 = 0.05;
/// The margin in mean absolute deviations, which nearly all errors stay below.
const MARGIN_DEVIATIONS: f64 = 3.0;

/// Mean error and mean absolute deviation of predictions, exponentially smoothed.
#[derive(Debug, Clone, Default)]
pub struct PredictionError {
    mean_s: f64,
    spread_s: f64,
}

impl PredictionError {
    /// Records a prediction and the actual duration.
    pub fn observe(&mut self, predicted: Duration, actual: Duration) {
        let error = actual.as_secs_f64() - predicted.as_secs_f64();
        let distance = (error - self.mean_s).abs();
        self.mean_s += SMOOTHING * (error - self.mean_s);
        self.spread_s += SMOOTHING * (distance - self.spread_s);
    }

    /// The margin to add to a prediction so that nearly all actual durations stay below it.
    pub fn margin(&self) -> Duration {
        let margin = self.mean_s + MARGIN_DEVIATIONS * self.spread_s;
        Duration::from_secs_f64(margin.max(0.0))
    }
}
