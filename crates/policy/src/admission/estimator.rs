//! Online estimates of request durations.

use std::time::Duration;

use super::PredictionError;
use super::StepModel;

const SMOOTHING: f64 = 0.05;
/// The quantile of response lengths that `long_tokens` estimates.
const LONG_QUANTILE: f64 = 0.9;
/// The step of the quantile estimate, as a fraction of the mean length.
const LONG_STEP: f64 = 0.05;
/// The assumed remainder of a response that is longer than expected, as a fraction of the
/// mean length.
const OVERRUN_REMAINING: f64 = 0.3;

/// Online estimates of request durations.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    steps: StepModel,
    /// Prefill time of one uncached prompt token, in seconds.
    prefill_s_per_token: f64,
    /// Duration of a call of a plain service, in seconds.
    call_s: f64,
    /// Mean length of a response.
    mean_tokens: f64,
    /// Length that nine in ten responses do not exceed.
    long_tokens: f64,
    /// Error of the predicted time to the first token.
    first_token_error: PredictionError,
    /// Error of the predicted wait in the queue.
    wait_error: PredictionError,
}

impl Estimator {
    /// Records one step.
    pub fn observe_step(&mut self, batch: usize, step: Duration) {
        self.steps.observe(batch, step);
    }

    /// Records the time from a start to its first token, during which the engine prefilled
    /// `prefill_tokens` of this and other prompts.
    pub fn observe_first_token(&mut self, prefill_tokens: f64, batch: usize, took: Duration) {
        if prefill_tokens < 1.0 {
            return;
        }
        let prefill = took.saturating_sub(self.steps.step(batch)).as_secs_f64();
        smooth(&mut self.prefill_s_per_token, prefill / prefill_tokens);
    }

    /// Records the predicted and the actual time to a first token.
    pub fn observe_first_token_error(&mut self, predicted: Duration, took: Duration) {
        self.first_token_error.observe(predicted, took);
    }

    /// The margin to add to a predicted time to the first token.
    pub fn first_token_margin(&self) -> Duration {
        self.first_token_error.margin()
    }

    /// Records a predicted and an actual wait in the queue.
    pub fn observe_wait_error(&mut self, predicted: Duration, took: Duration) {
        self.wait_error.observe(predicted, took);
    }

    /// The margin to add to a predicted wait.
    pub fn wait_margin(&self) -> Duration {
        self.wait_error.margin()
    }

    /// Records the duration of a call of a plain service.
    pub fn observe_call(&mut self, took: Duration) {
        smooth(&mut self.call_s, took.as_secs_f64());
    }

    /// Records the length of a whole response.
    pub fn observe_response_length(&mut self, completion_tokens: u64) {
        let tokens = completion_tokens as f64;
        smooth(&mut self.mean_tokens, tokens);
        if self.long_tokens == 0.0 {
            self.long_tokens = tokens;
        }
        // The steps up and down are in equilibrium at the quantile.
        let step = LONG_STEP * self.mean_tokens;
        let is_longer = tokens > self.long_tokens;
        self.long_tokens += if is_longer { LONG_QUANTILE } else { LONG_QUANTILE - 1.0 } * step;
    }

    /// The step model.
    pub fn steps(&self) -> &StepModel {
        &self.steps
    }

    /// Whether anything was observed; before that no request is rejected on a prediction.
    pub fn is_trained(&self) -> bool {
        self.steps.has_observations() || self.call_s > 0.0
    }

    /// The expected length of a response of at most `bound` tokens.
    pub fn expected_tokens(&self, bound: u64) -> u64 {
        if self.mean_tokens == 0.0 {
            return bound;
        }
        bound.min(self.mean_tokens.ceil() as u64)
    }

    /// The length that nine in ten responses of at most `bound` tokens do not exceed.
    pub fn long_tokens(&self, bound: u64) -> u64 {
        if self.mean_tokens == 0.0 {
            return bound;
        }
        bound.min(self.long_tokens.ceil() as u64)
    }

    /// The expected remainder of a response of at most `bound` tokens after `made` tokens.
    pub fn tokens_left(&self, bound: u64, made: u64) -> u64 {
        let expected = self.expected_tokens(bound).saturating_sub(made);
        let overdue = (self.mean_tokens * OVERRUN_REMAINING) as u64;
        expected.max(overdue).min(bound.saturating_sub(made)).max(1)
    }

    /// The predicted time to prefill prompt tokens.
    pub fn prefill(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.prefill_s_per_token * tokens)
    }

    /// The number of prompt tokens that are prefilled within a time.
    pub fn prefill_tokens_in(&self, time: Duration) -> f64 {
        if self.prefill_s_per_token <= 0.0 {
            return 0.0;
        }
        time.as_secs_f64() / self.prefill_s_per_token
    }

    /// The predicted time from start to first token.
    pub fn first_token(&self, uncached_tokens: f64, batch: usize) -> Duration {
        self.prefill(uncached_tokens) + self.steps.step(batch)
    }

    /// The predicted time from start to end.
    pub fn service(&self, uncached_tokens: u64, completion_tokens: u64, batch: usize) -> Duration {
        if completion_tokens == 0 {
            return Duration::from_secs_f64(self.call_s);
        }
        let later_tokens = u32::try_from(completion_tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        let first = self.first_token(uncached_tokens as f64, batch);
        first + self.steps.step(batch) * later_tokens
    }

    /// The predicted generation time of a response of mean length.
    pub fn mean_service(&self, batch: usize) -> Duration {
        if self.mean_tokens == 0.0 {
            return Duration::from_secs_f64(self.call_s);
        }
        self.steps.step(batch).mul_f64(self.mean_tokens)
    }
}

fn smooth(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += SMOOTHING * (value - *mean);
    }
}
