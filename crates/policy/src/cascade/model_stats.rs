//! Statistics of one model for one workspace and task.

use std::time::Duration;

use stallhoist_core::CostMicros;

/// The factor by which each rating reduces the weight of earlier ones, which bounds their
/// effective number to 100.
const DISCOUNT: f64 = 0.99;
const SMOOTHING: f64 = 0.05;
/// Pseudo-counts of good and of poor ratings: a uniform prior of the quality.
const PRIOR_COUNT: f64 = 1.0;

/// Statistics of one model for one workspace and task.
#[derive(Debug, Clone)]
pub struct ModelStats {
    good: f64,
    poor: f64,
    cost_micros: Option<f64>,
    latency_s: Option<f64>,
}

impl Default for ModelStats {
    fn default() -> Self {
        Self { good: PRIOR_COUNT, poor: PRIOR_COUNT, cost_micros: None, latency_s: None }
    }
}

impl ModelStats {
    /// Records a rating.
    pub fn rated(&mut self, is_good: bool) {
        self.good = PRIOR_COUNT + (self.good - PRIOR_COUNT) * DISCOUNT;
        self.poor = PRIOR_COUNT + (self.poor - PRIOR_COUNT) * DISCOUNT;
        if is_good {
            self.good += 1.0;
        } else {
            self.poor += 1.0;
        }
    }

    /// Records the cost and the latency of a response.
    pub fn answered(&mut self, cost: CostMicros, took: Duration) {
        smooth(&mut self.cost_micros, cost.0 as f64);
        smooth(&mut self.latency_s, took.as_secs_f64());
    }

    /// The effective number of ratings.
    pub fn ratings(&self) -> f64 {
        self.good + self.poor - 2.0 * PRIOR_COUNT
    }

    /// The expected fraction of good responses.
    pub fn quality(&self) -> f64 {
        self.good / (self.good + self.poor)
    }

    /// A lower bound of the quality: the mean of the posterior less one standard deviation.
    pub fn quality_lower_bound(&self) -> f64 {
        let count = self.good + self.poor;
        let quality = self.quality();
        let variance = quality * (1.0 - quality) / (count + 1.0);
        quality - variance.sqrt()
    }

    /// The expected cost of a response; `price` until one was recorded.
    pub fn cost(&self, price: f64) -> f64 {
        self.cost_micros.unwrap_or(price)
    }

    /// The expected latency of a response; zero until one was recorded.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_s.unwrap_or_default())
    }
}

fn smooth(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + SMOOTHING * (value - mean)));
}
