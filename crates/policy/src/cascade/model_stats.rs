//! What is known of one model in one kind of work.

use std::time::Duration;

use stallhoist_core::CostMicros;

/// How much a rating counts after the next one came: the memory is about a hundred.
const DISCOUNT: f64 = 0.99;
const SMOOTHING: f64 = 0.05;
/// A model of which nothing is known is taken for a coin.
const PRIOR: f64 = 1.0;

/// What is known of one model in one kind of work.
#[derive(Debug, Clone)]
pub struct ModelStats {
    good: f64,
    poor: f64,
    cost_micros: Option<f64>,
    latency_s: Option<f64>,
}

impl Default for ModelStats {
    fn default() -> Self {
        Self { good: PRIOR, poor: PRIOR, cost_micros: None, latency_s: None }
    }
}

impl ModelStats {
    /// Takes in a rating.
    pub fn rated(&mut self, is_good: bool) {
        self.good = PRIOR + (self.good - PRIOR) * DISCOUNT;
        self.poor = PRIOR + (self.poor - PRIOR) * DISCOUNT;
        if is_good {
            self.good += 1.0;
        } else {
            self.poor += 1.0;
        }
    }

    /// Takes in what an answer cost and how long it took.
    pub fn answered(&mut self, cost: CostMicros, took: Duration) {
        smooth(&mut self.cost_micros, cost.0 as f64);
        smooth(&mut self.latency_s, took.as_secs_f64());
    }

    /// How many ratings are remembered.
    pub fn ratings(&self) -> f64 {
        self.good + self.poor - 2.0 * PRIOR
    }

    /// The expected share of good answers.
    pub fn quality(&self) -> f64 {
        self.good / (self.good + self.poor)
    }

    /// A share of good answers that is reached with fair certainty: the mean of the
    /// posterior less one standard deviation.
    pub fn quality_lower_bound(&self) -> f64 {
        let count = self.good + self.poor;
        let quality = self.quality();
        let variance = quality * (1.0 - quality) / (count + 1.0);
        quality - variance.sqrt()
    }

    /// The expected cost of an answer; `price` stands in until one was paid.
    pub fn cost(&self, price: f64) -> f64 {
        self.cost_micros.unwrap_or(price)
    }

    /// The expected time of an answer; zero until one was timed.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_s.unwrap_or_default())
    }
}

fn smooth(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + SMOOTHING * (value - mean)));
}
