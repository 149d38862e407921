//! Enforcement of the limits of one row at one gateway.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::EntryShare;
use super::bucket::Bucket;

/// The retry time after the concurrency limit was reached; the end of a running request is
/// unknown.
const RETRY_AFTER_IN_FLIGHT: Duration = Duration::from_millis(500);

/// The longest retry time; limits and gateways may have changed by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The fleet-wide limits of a row. Zero means no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RowLimits {
    /// The maximum number of requests in progress.
    pub max_in_flight_requests: u32,
    /// The maximum number of requests per second.
    pub max_requests_per_s: u32,
    /// The maximum number of tokens per second, of prompts plus the maximum of completions.
    pub max_tokens_per_s: u32,
}

impl RowLimits {
    /// Whether no limit is set.
    pub fn is_unlimited(&self) -> bool {
        *self == Self::default()
    }
}

/// The error of a request that exceeds this gateway's share of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// The time after which to retry.
    pub retry_after: Duration,
}

/// Enforces the limits of one row at one gateway.
#[derive(Debug, Clone, Default)]
pub struct RowLimiter {
    in_flight: u32,
    requests: Bucket,
    tokens: Bucket,
}

impl RowLimiter {
    /// Admits a request of `tokens` tokens. It is in progress until [`ended`](Self::ended).
    ///
    /// # Errors
    /// Fails if a limit is reached; the request then counts against no limit.
    pub fn admit(
        &mut self,
        now: MonoTime,
        limits: &RowLimits,
        share: EntryShare,
        tokens: u64,
    ) -> Result<(), LimitReached> {
        let max_in_flight = share.whole_part(limits.max_in_flight_requests);
        if limits.max_in_flight_requests > 0 && self.in_flight >= max_in_flight {
            return Err(LimitReached { retry_after: RETRY_AFTER_IN_FLIGHT });
        }
        let wait = |bucket: &mut Bucket, limit: u32| {
            (limit > 0).then(|| bucket.wait(now, share.part(limit))).flatten()
        };
        let requests = wait(&mut self.requests, limits.max_requests_per_s);
        let generated = wait(&mut self.tokens, limits.max_tokens_per_s);
        if let Some(wait) = requests.max(generated) {
            return Err(LimitReached { retry_after: wait.min(MAX_RETRY_AFTER) });
        }
        self.requests.take(1.0);
        self.tokens.take(tokens as f64);
        self.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
