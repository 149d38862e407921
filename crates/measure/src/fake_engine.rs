//! Timing model of the simulated engine.

use std::time::Duration;

/// Timing of the simulated engine. A step takes `step_base + batch * step_per_request`, plus `prefill_per_token`
/// for each prompt token that it processes.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// Fixed time of a step.
    pub step_base: Duration,
    /// Additional time of a step for each request in the batch.
    pub step_per_request: Duration,
    /// Prefill time of one uncached prompt token.
    pub prefill_per_token: Duration,
    /// Most prompt tokens that one step processes.
    pub prefill_tokens_per_step: u64,
    /// Factor that all times are multiplied by.
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
    /// Returns the time of a step over `batch` requests that processes `prefill_tokens` prompt tokens.
    pub fn step(&self, batch: usize, prefill_tokens: u64) -> Duration {
        let batch = u32::try_from(batch).unwrap_or(u32::MAX);
        let prefill = u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        let time =
            self.step_base + self.step_per_request * batch + self.prefill_per_token * prefill;
        time.mul_f64(self.slowdown)
    }
}
