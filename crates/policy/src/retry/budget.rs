//! A retry budget that limits retries to a fraction of all requests.

use std::fmt;

/// Each request adds `percent` credits and each retry costs `CREDITS_PER_RETRY`. With all
/// upstreams failing, calls stay below `1 + percent / 100` of the requests, plus the burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credits: u64,
    percent: u64,
    max_credits: u64,
}

const CREDITS_PER_RETRY: u64 = 100;

/// Most that a restarted process begins with: so little that it takes five starts to save a retry from it.
const MAX_RESTART_CREDITS: u64 = CREDITS_PER_RETRY / 5;

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 requests, which starts with `burst`.
    pub fn new(percent: u32, burst: impl Into<f64>) -> Self {
        let max_credits = credits_of(burst.into());
        Self { credits: max_credits, percent: u64::from(percent), max_credits }
    }

    /// Creates the same budget for a process whose predecessor may have spent the burst. If the ratio is high, it
    /// begins with just enough for one retry of the first request.
    pub fn restarted(percent: u32, burst: impl Into<f64>) -> Self {
        let full = Self::new(percent, burst);
        let missing = CREDITS_PER_RETRY.saturating_sub(full.percent);
        Self { credits: missing.min(MAX_RESTART_CREDITS).min(full.max_credits), ..full }
    }

    /// Raises what is saved to what `retries` retries of the next request cost in addition to its own credits.
    pub fn reserve(&mut self, retries: u32) {
        let cost = u64::from(retries) * CREDITS_PER_RETRY;
        let saved = self.credits.max(cost.saturating_sub(self.percent));
        self.credits = saved.min(self.max_credits);
    }

    /// Limits the budget to `burst` retries at once.
    pub fn set_burst(&mut self, burst: impl Into<f64>) {
        self.max_credits = credits_of(burst.into());
        self.credits = self.credits.min(self.max_credits);
    }

    /// Adds the credits of one request.
    pub fn request(&mut self) {
        self.credits = (self.credits + self.percent).min(self.max_credits);
    }

    /// Whether there are credits for one retry.
    pub fn has_retry(&self) -> bool {
        self.credits >= CREDITS_PER_RETRY
    }

    /// Takes the credits of one retry; false if there are too few.
    pub fn take(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.credits -= CREDITS_PER_RETRY;
        true
    }
}

fn credits_of(retries: f64) -> u64 {
    (retries * CREDITS_PER_RETRY as f64) as u64
}

impl fmt::Display for RetryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let retries = |credits: u64| credits as f64 / CREDITS_PER_RETRY as f64;
        write!(f, "{:.2} of {:.2} retries", retries(self.credits), retries(self.max_credits))
    }
}
