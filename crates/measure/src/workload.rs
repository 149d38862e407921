//! Workload generator.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::MonoTime;

/// A generated request.
#[derive(Debug, Clone)]
pub struct FakeRequest {
    /// Arrival time.
    pub arrives: MonoTime,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of completion tokens.
    pub completion_tokens: u64,
    /// Hashes of the prompt's blocks. Equal prefixes have equal hashes.
    pub blocks: Vec<u64>,
}

/// Parameters of a workload. Arrivals form a Poisson process.
#[derive(Debug, Clone)]
pub struct WorkloadShape {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Period in which requests arrive.
    pub duration: Duration,
    /// Mean tokens of a short prompt.
    pub prompt_tokens: u64,
    /// Mean tokens of a long prompt.
    pub long_prompt_tokens: u64,
    /// Fraction of requests with a long prompt, from 0 to 1.
    pub long_prompt_ratio: f64,
    /// Mean completion tokens.
    pub completion_tokens: u64,
    /// Number of shared prefixes; 0 for none.
    pub shared_prefixes: u64,
    /// Tokens in a shared prefix.
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
    /// Generates the requests in order of arrival.
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
        let unique_tokens = sample_around(mean, rng);
        let mut blocks = Vec::new();
        let mut prompt_tokens = unique_tokens;
        if self.shared_prefixes > 0 {
            // Squaring favours low numbers, so that most requests share a few prefixes.
            let skewed = rng.random_range(0.0_f64..1.0).powi(2);
            let prefix = (skewed * self.shared_prefixes as f64) as u64;
            prompt_tokens += self.prefix_tokens;
            blocks.extend((0..self.prefix_tokens / self.block_tokens).map(|b| prefix << 20 | b));
        }
        let own = 1 << 63 | unique << 20;
        blocks.extend((0..unique_tokens / self.block_tokens).map(|block| own | block));
        let completion_tokens = sample_around(self.completion_tokens, rng);
        FakeRequest { arrives, prompt_tokens, completion_tokens, blocks }
    }
}

/// Samples the exponential distribution with mean 1.
fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random_range(0.0_f64..1.0)).ln()
}

/// Samples a skewed value between a quarter of the mean and four times the mean.
fn sample_around(mean: u64, rng: &mut impl Rng) -> u64 {
    let factor = (0.25 + 0.75 * exponential(rng)).min(4.0);
    ((mean as f64 * factor) as u64).max(1)
}
