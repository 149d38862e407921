//! How long the fake engine takes.

use std::time::Duration;

/// How long the fake engine takes: a step of `base + batch * per_request`, lengthened
/// by the part of prompts that it takes in with it.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// The fixed part of a step.
    pub step_base: Duration,
    /// What each request in the batch adds.
    pub step_per_request: Duration,
    /// Time to take in one uncached prompt token.
    pub prefill_per_token: Duration,
    /// The most prompt tokens taken in with one step.
    pub prefill_tokens_per_step: u64,
    /// All times are multiplied by this.
    pub slowdown: f64,
}

impl Default for EngineTimes {
    fn default() -> Self {
        Self {
            step_base: Duration::from_millis(12),
            step_per_request: Duration::from_micros(600),
            prefill_per_token: Duration::from_micros(100),
            prefill_tokens_per_step: 128,
            slowdown: 1.0,
        }
    }
}

impl EngineTimes {
    /// The time of a step.
    pub fn step(&self, batch: usize, prefill_tokens: u64) -> Duration {
        let batch = u32::try_from(batch).unwrap_or(u32::MAX);
        let prefill = u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        let time =
            self.step_base + self.step_per_request * batch + self.prefill_per_token * prefill;
        time.mul_f64(self.slowdown)
    }
}
