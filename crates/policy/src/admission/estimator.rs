//! How long work takes, learnt from what was seen.

use std::time::Duration;

use super::PredictionError;
use super::StepModel;

const SMOOTHING: f64 = 0.05;
/// Which part of answers is no longer than what is called long.
const LONG_QUANTILE: f64 = 0.9;
/// How fast the length of a long answer is corrected, as a part of the mean length.
const LONG_STEP: f64 = 0.05;
/// What an answer that is already longer than expected has left, as a part of the mean.
const OVERDUE_LEFT: f64 = 0.3;

/// How long work takes, learnt from what was seen.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    steps: StepModel,
    /// Seconds to take in one uncached prompt token.
    prefill_s_per_token: f64,
    /// Seconds that a plain call takes.
    call_s: f64,
    /// Tokens of an answer, in the mean.
    mean_tokens: f64,
    /// Tokens that nine in ten answers do not exceed.
    long_tokens: f64,
    /// How far first tokens came from their predictions.
    first_token_error: PredictionError,
    /// How far starts of waiting work came from their predictions.
    wait_error: PredictionError,
}

impl Estimator {
    /// Takes in one step.
    pub fn observe_step(&mut self, batch: usize, step: Duration) {
        self.steps.observe(batch, step);
    }

    /// Takes in the time from a start to its first token, in which the engine took in
    /// `prefill_tokens` of this and other prompts.
    pub fn observe_first_token(&mut self, prefill_tokens: f64, batch: usize, took: Duration) {
        if prefill_tokens < 1.0 {
            return;
        }
        let prefill = took.saturating_sub(self.steps.step(batch)).as_secs_f64();
        smooth(&mut self.prefill_s_per_token, prefill / prefill_tokens);
    }

    /// Takes in a first token that was predicted.
    pub fn observe_first_token_error(&mut self, predicted: Duration, took: Duration) {
        self.first_token_error.observe(predicted, took);
    }

    /// The time to add to the predicted time of a first token, so that nearly all come
    /// within it.
    pub fn first_token_margin(&self) -> Duration {
        self.first_token_error.margin()
    }

    /// Takes in a wait that was predicted.
    pub fn observe_wait_error(&mut self, predicted: Duration, took: Duration) {
        self.wait_error.observe(predicted, took);
    }

    /// The time to add to a predicted wait, so that nearly all start within it.
    pub fn wait_margin(&self) -> Duration {
        self.wait_error.margin()
    }

    /// Takes in the time of a whole plain call.
    pub fn observe_call(&mut self, took: Duration) {
        smooth(&mut self.call_s, took.as_secs_f64());
    }

    /// Takes in the length of a whole answer.
    pub fn observe_answer(&mut self, completion_tokens: u64) {
        let tokens = completion_tokens as f64;
        smooth(&mut self.mean_tokens, tokens);
        if self.long_tokens == 0.0 {
            self.long_tokens = tokens;
        }
        // Steps up and down balance where the wanted part of answers is shorter.
        let step = LONG_STEP * self.mean_tokens;
        let is_longer = tokens > self.long_tokens;
        self.long_tokens += if is_longer { LONG_QUANTILE } else { LONG_QUANTILE - 1.0 } * step;
    }

    /// The step model.
    pub fn steps(&self) -> &StepModel {
        &self.steps
    }

    /// Whether anything was learnt; before that nothing is refused on a prediction.
    pub fn has_learnt(&self) -> bool {
        self.steps.has_seen() || self.call_s > 0.0
    }

    /// Tokens that an answer is expected to have when at most `bound` are asked for.
    pub fn expected_tokens(&self, bound: u64) -> u64 {
        if self.mean_tokens == 0.0 {
            return bound;
        }
        bound.min(self.mean_tokens.ceil() as u64)
    }

    /// Tokens that an answer has at most in nine of ten cases.
    pub fn long_tokens(&self, bound: u64) -> u64 {
        if self.mean_tokens == 0.0 {
            return bound;
        }
        bound.min(self.long_tokens.ceil() as u64)
    }

    /// Tokens that an answer has left after `made`, when at most `bound` are asked for.
    pub fn tokens_left(&self, bound: u64, made: u64) -> u64 {
        let expected = self.expected_tokens(bound).saturating_sub(made);
        let overdue = (self.mean_tokens * OVERDUE_LEFT) as u64;
        expected.max(overdue).min(bound.saturating_sub(made)).max(1)
    }

    /// The predicted time to take in prompt tokens.
    pub fn prefill(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.prefill_s_per_token * tokens)
    }

    /// The prompt tokens that are taken in within a time.
    pub fn prefill_tokens_in(&self, time: Duration) -> f64 {
        if self.prefill_s_per_token <= 0.0 {
            return 0.0;
        }
        time.as_secs_f64() / self.prefill_s_per_token
    }

    /// The predicted time from a start to the first token.
    pub fn first_token(&self, uncached_tokens: f64, batch: usize) -> Duration {
        self.prefill(uncached_tokens) + self.steps.step(batch)
    }

    /// The predicted time from a start to the end.
    pub fn service(&self, uncached_tokens: u64, completion_tokens: u64, batch: usize) -> Duration {
        if completion_tokens == 0 {
            return Duration::from_secs_f64(self.call_s);
        }
        let later_tokens = u32::try_from(completion_tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        let first = self.first_token(uncached_tokens as f64, batch);
        first + self.steps.step(batch) * later_tokens
    }

    /// The predicted time of work of mean length.
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
