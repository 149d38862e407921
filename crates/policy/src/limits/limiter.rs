//! What one entry has let in under the limits of one row.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::EntryShare;
use super::bucket::Bucket;

/// When to come back after too many requests were in progress: nobody knows when one ends.
const RETRY_AFTER_IN_FLIGHT: Duration = Duration::from_millis(500);

/// The longest time that is told: limits and entries may have changed by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The limits of a row over the whole fleet. Zero means that there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RowLimits {
    /// The most requests in progress.
    pub max_in_flight_requests: u32,
    /// The most requests a second.
    pub max_requests_per_s: u32,
    /// The most tokens a second, those of the prompt and those that may be generated.
    pub max_tokens_per_s: u32,
}

impl RowLimits {
    /// Whether there is no limit at all.
    pub fn is_unlimited(&self) -> bool {
        *self == Self::default()
    }
}

/// A limit is used up here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// What one entry has let in under the limits of one row.
#[derive(Debug, Clone, Default)]
pub struct RowLimiter {
    in_flight: u32,
    requests: Bucket,
    tokens: Bucket,
}

impl RowLimiter {
    /// Lets a request of so many tokens in. It counts until [`ended`](Self::ended).
    ///
    /// # Errors
    /// Fails when a limit is used up; the request then counts for none.
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

    /// A request that was let in has ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
