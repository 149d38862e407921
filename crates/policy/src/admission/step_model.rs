//! Online estimate of an engine's step time as `a + b * batch`.

use std::time::Duration;

/// The factor by which each new observation reduces the weight of earlier ones.
const DECAY: f64 = 0.998;
/// The variance of batch sizes below which no slope is estimated.
const MIN_BATCH_VARIANCE: f64 = 0.25;
/// The number of observations before the fit is used.
const MIN_WEIGHT: f64 = 8.0;
/// How far the model is extrapolated, as a factor of the largest batch seen.
const MAX_EXTRAPOLATION: f64 = 1.25;
/// 95 % of a normal distribution lie below the mean plus this many standard deviations.
const Z_SCORE_95_PERCENT: f64 = 1.645;
const RESIDUAL_SMOOTHING: f64 = 0.005;
/// The assumed step time before the first observation.
const DEFAULT_STEP: Duration = Duration::from_millis(5);
/// The batch that is allowed before the fit is used.
const INITIAL_BATCH: usize = 8;

/// Step time as a linear function of batch size, fitted online by least squares with
/// exponential forgetting.
#[derive(Debug, Clone, Default)]
pub struct StepModel {
    weight: f64,
    sum_batch: f64,
    sum_step: f64,
    sum_batch_sq: f64,
    sum_batch_step: f64,
    largest_batch: f64,
    /// Mean square of the residuals.
    residual_sq: f64,
}

impl StepModel {
    /// Records a step of `batch` requests that took `step`.
    pub fn observe(&mut self, batch: usize, step: Duration) {
        let batch = batch as f64;
        let step = step.as_secs_f64();
        if self.weight >= MIN_WEIGHT {
            let (base, slope) = self.coefficients();
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
        // The largest batch decays slowly, so that larger batches are tried again after the
        // engine has changed.
        self.largest_batch = (self.largest_batch * 0.9999).max(batch);
    }

    /// Whether any step was observed.
    pub fn has_observations(&self) -> bool {
        self.weight > 0.0
    }

    /// The predicted time of a step with `batch` requests. Before the first observation it is
    /// zero for a single request, so that a new engine receives one, and `DEFAULT_STEP` for
    /// more, so that it does not receive all requests at once.
    pub fn step(&self, batch: usize) -> Duration {
        if self.weight <= 0.0 {
            return if batch <= 1 { Duration::ZERO } else { DEFAULT_STEP };
        }
        let (base, slope) = self.coefficients();
        Duration::from_secs_f64((base + slope * batch as f64).max(0.0))
    }

    /// The largest batch, from 1 to `max_batch`, of which 95 % of the steps are predicted to
    /// take no longer than `target`.
    pub fn largest_batch_within(&self, target: Duration, max_batch: usize) -> usize {
        if self.weight < MIN_WEIGHT {
            return INITIAL_BATCH.min(max_batch);
        }
        let (base, slope) = self.coefficients();
        let spread = Z_SCORE_95_PERCENT * self.residual_sq.sqrt();
        let room = target.as_secs_f64() - base - spread;
        let fitting = if slope <= f64::EPSILON {
            if room >= 0.0 { f64::INFINITY } else { 1.0 }
        } else {
            (room / slope).floor()
        };
        let largest_trusted = (self.largest_batch * MAX_EXTRAPOLATION).floor() + 1.0;
        let batch = fitting.min(largest_trusted.max(INITIAL_BATCH as f64));
        (batch.max(1.0) as usize).min(max_batch)
    }

    /// The standard deviation of the residuals, in seconds.
    pub fn residual_std_dev(&self) -> f64 {
        self.residual_sq.sqrt()
    }

    /// Base and slope, in seconds. Where all batches have nearly the same size the whole time
    /// counts as base: nothing is underestimated, and `MAX_EXTRAPOLATION` bounds the growth.
    fn coefficients(&self) -> (f64, f64) {
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
