//! Requests as they come.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::MonoTime;

/// A request of a workload.
#[derive(Debug, Clone)]
pub struct FakeRequest {
    /// When it comes.
    pub arrives: MonoTime,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Hashes of the prompt's blocks; equal prefixes have equal hashes.
    pub blocks: Vec<u64>,
}

/// What requests are like.
#[derive(Debug, Clone)]
pub struct WorkloadShape {
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long they come.
    pub duration: Duration,
    /// Tokens of a short prompt, in the mean.
    pub prompt_tokens: u64,
    /// Tokens of a long prompt, in the mean.
    pub long_prompt_tokens: u64,
    /// The part of long prompts.
    pub long_prompt_ratio: f64,
    /// Tokens of an answer, in the mean.
    pub completion_tokens: u64,
    /// Prefixes that requests share; 0 shares none.
    pub shared_prefixes: u64,
    /// Tokens of a shared prefix.
    pub prefix_tokens: u64,
    /// Tokens in a block.
    pub block_tokens: u64,
}

impl Default for WorkloadShape {
    fn default() -> Self {
        Self {
            rate_per_s: 10.0,
            duration: Duration::from_secs(120),
            prompt_tokens: 500,
            long_prompt_tokens: 4_000,
            long_prompt_ratio: 0.0,
            completion_tokens: 120,
            shared_prefixes: 0,
            prefix_tokens: 1_024,
            block_tokens: 64,
        }
    }
}

impl WorkloadShape {
    /// The requests, in the order they come.
    pub fn generate(&self, rng: &mut impl Rng) -> Vec<FakeRequest> {
        let mut requests = Vec::new();
        let mut at = MonoTime::default();
        let mut unique = 0;
        loop {
            at = at.after(Duration::from_secs_f64(exponential(rng) / self.rate_per_s));
            if at.since(MonoTime::default()) > self.duration {
                return requests;
            }
            unique += 1;
            requests.push(self.request(at, unique, rng));
        }
    }

    fn request(&self, arrives: MonoTime, unique: u64, rng: &mut impl Rng) -> FakeRequest {
        let is_long = rng.random_bool(self.long_prompt_ratio);
        let mean = if is_long { self.long_prompt_tokens } else { self.prompt_tokens };
        let own_tokens = around(mean, rng);
        let mut blocks = Vec::new();
        let mut prompt_tokens = own_tokens;
        if self.shared_prefixes > 0 {
            // A few prefixes are in most requests: squaring favours the low numbers.
            let skewed = rng.random_range(0.0_f64..1.0).powi(2);
            let prefix = (skewed * self.shared_prefixes as f64) as u64;
            prompt_tokens += self.prefix_tokens;
            blocks.extend((0..self.prefix_tokens / self.block_tokens).map(|b| prefix << 20 | b));
        }
        let own = 1 << 63 | unique << 20;
        blocks.extend((0..own_tokens / self.block_tokens).map(|block| own | block));
        let completion_tokens = around(self.completion_tokens, rng);
        FakeRequest { arrives, prompt_tokens, completion_tokens, blocks }
    }
}

/// A sample of the exponential distribution with mean 1.
fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random_range(0.0_f64..1.0)).ln()
}

/// Between a quarter of the mean and about three times it, skewed.
fn around(mean: u64, rng: &mut impl Rng) -> u64 {
    let factor = (0.25 + 0.75 * exponential(rng)).min(4.0);
    ((mean as f64 * factor) as u64).max(1)
}
