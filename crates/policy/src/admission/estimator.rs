//! How long work takes, learnt from what was seen.

use std::time::Duration;

use super::StepModel;

const SMOOTHING: f64 = 0.05;

/// How long work takes, learnt from what was seen.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    steps: StepModel,
    /// Seconds to take in one uncached prompt token.
    prefill_s_per_token: f64,
    /// Seconds that a plain call takes.
    call_s: f64,
    /// Tokens of an answer.
    completion_tokens: f64,
}

impl Estimator {
    /// Takes in one step.
    pub fn observe_step(&mut self, batch: usize, step: Duration) {
        self.steps.observe(batch, step);
    }

    /// Takes in the time from a start to its first token, in which the engine took in
    /// `prefill_tokens` of this and other prompts.
    pub fn observe_first_token(&mut self, prefill_tokens: u64, batch: usize, took: Duration) {
        if prefill_tokens == 0 {
            return;
        }
        let prefill = took.saturating_sub(self.steps.step(batch)).as_secs_f64();
        smooth(&mut self.prefill_s_per_token, prefill / prefill_tokens as f64);
    }

    /// Takes in the time of a whole plain call.
    pub fn observe_call(&mut self, took: Duration) {
        smooth(&mut self.call_s, took.as_secs_f64());
    }

    /// Takes in the length of a whole answer.
    pub fn observe_answer(&mut self, completion_tokens: u64) {
        smooth(&mut self.completion_tokens, completion_tokens as f64);
    }

    /// The step model.
    pub fn steps(&self) -> &StepModel {
        &self.steps
    }

    /// Tokens that an answer is expected to have when at most `bound` are asked for.
    pub fn expected_tokens(&self, bound: u64) -> u64 {
        if self.completion_tokens == 0.0 {
            return bound;
        }
        bound.min(self.completion_tokens.ceil() as u64)
    }

    /// The predicted time from a start to the first token.
    pub fn first_token(&self, uncached_tokens: u64, batch: usize) -> Duration {
        let prefill = self.prefill_s_per_token * uncached_tokens as f64;
        Duration::from_secs_f64(prefill) + self.steps.step(batch)
    }

    /// The predicted time from a start to the end.
    pub fn service(&self, uncached_tokens: u64, completion_tokens: u64, batch: usize) -> Duration {
        if completion_tokens == 0 {
            return Duration::from_secs_f64(self.call_s);
        }
        let later_tokens = u32::try_from(completion_tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        self.first_token(uncached_tokens, batch) + self.steps.step(batch) * later_tokens
    }
}

fn smooth(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += SMOOTHING * (value - *mean);
    }
}
