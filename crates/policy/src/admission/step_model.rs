//! The time of an engine's step, learnt as `a + b * batch`.

use std::time::Duration;

/// How much an observation counts after the next one came.
const DECAY: f64 = 0.998;
/// The spread of batch sizes below which the slope is not trusted.
const MIN_BATCH_VARIANCE: f64 = 0.25;
/// Observations needed before anything is trusted.
const MIN_WEIGHT: f64 = 8.0;
/// How far beyond the largest batch seen the model is believed.
const BELIEVED_GROWTH: f64 = 1.25;
/// A part of 95 in 100 lies within so many standard deviations above the mean.
const SPREADS_TO_95_OF_100: f64 = 1.645;
const RESIDUAL_SMOOTHING: f64 = 0.005;
/// A step before any was seen.
const GUESSED_STEP: Duration = Duration::from_millis(5);
/// A batch that any engine is trusted with before anything is known.
const FIRST_BATCH: usize = 8;

/// The time of a step against the size of the batch, fitted online by least squares
/// with exponential forgetting.
#[derive(Debug, Clone, Default)]
pub struct StepModel {
    weight: f64,
    sum_batch: f64,
    sum_step: f64,
    sum_batch_sq: f64,
    sum_batch_step: f64,
    largest_batch: f64,
    /// The mean square of the distance from the line.
    residual_sq: f64,
}

impl StepModel {
    /// Takes in one step that took `step` with `batch` requests in it.
    pub fn observe(&mut self, batch: usize, step: Duration) {
        let batch = batch as f64;
        let step = step.as_secs_f64();
        if self.weight >= MIN_WEIGHT {
            let (base, slope) = self.line();
            let residual = step - (base + slope * batch);
            self.residual_sq += RESIDUAL_SMOOTHING * (residual * residual - self.residual_sq);
        }
        for sum in [
            &mut self.weight,
            &mut self.sum_batch,
            &mut self.sum_step,
            &mut self.sum_batch_sq,
            &mut self.sum_batch_step,
        ] {
            *sum *= DECAY;
        }
        self.weight += 1.0;
        self.sum_batch += batch;
        self.sum_step += step;
        self.sum_batch_sq += batch * batch;
        self.sum_batch_step += batch * step;
        // The largest batch is forgotten slowly, so that an engine that changes is
        // explored again.
        self.largest_batch = (self.largest_batch * 0.9999).max(batch);
    }

    /// Whether any step was seen.
    pub fn has_seen(&self) -> bool {
        self.weight > 0.0
    }

    /// The predicted time of a step with `batch` requests. Before any was seen it is zero
    /// for a first request, so that a new engine is tried, and a guess for more, so that
    /// not everybody tries it at once.
    pub fn step(&self, batch: usize) -> Duration {
        if self.weight <= 0.0 {
            return if batch <= 1 { Duration::ZERO } else { GUESSED_STEP };
        }
        let (base, slope) = self.line();
        Duration::from_secs_f64((base + slope * batch as f64).max(0.0))
    }

    /// The largest batch whose steps are predicted to take no longer than `target` in 95
    /// of 100 cases, from 1 to `max_batch`.
    pub fn largest_batch_within(&self, target: Duration, max_batch: usize) -> usize {
        if self.weight < MIN_WEIGHT {
            return FIRST_BATCH.min(max_batch);
        }
        let (base, slope) = self.line();
        let spread = SPREADS_TO_95_OF_100 * self.residual_sq.sqrt();
        let room = target.as_secs_f64() - base - spread;
        let fitting = if slope <= f64::EPSILON {
            if room >= 0.0 { f64::INFINITY } else { 1.0 }
        } else {
            (room / slope).floor()
        };
        let believed = (self.largest_batch * BELIEVED_GROWTH).floor() + 1.0;
        let batch = fitting.min(believed.max(FIRST_BATCH as f64));
        (batch.max(1.0) as usize).min(max_batch)
    }

    /// The standard deviation of steps from the line, in seconds.
    pub fn spread(&self) -> f64 {
        self.residual_sq.sqrt()
    }

    /// Base and slope in seconds. Without a spread of batch sizes all time is laid
    /// on the base: that forgets no time, and growth is bounded by what was seen.
    fn line(&self) -> (f64, f64) {
        if self.weight <= 0.0 {
            return (0.0, 0.0);
        }
        let mean_batch = self.sum_batch / self.weight;
        let mean_step = self.sum_step / self.weight;
        let variance = self.sum_batch_sq / self.weight - mean_batch * mean_batch;
        if variance < MIN_BATCH_VARIANCE {
            return (mean_step, 0.0);
        }
        let covariance = self.sum_batch_step / self.weight - mean_batch * mean_step;
        let slope = (covariance / variance).max(0.0);
        let base = (mean_step - slope * mean_batch).max(0.0);
        (base, slope)
    }
}
