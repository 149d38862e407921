//! How much later than expected the first chunks of a service's responses arrive.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// Weight of a new observation.
const SMOOTHING: f64 = 0.2;

/// Observations count for no longer than this after the last one, as load changes within seconds.
const MEMORY: Duration = Duration::from_secs(5);

/// Bound of the factor of a single observation. Early first chunks count as on time, as a short wait by luck does not
/// make up for a long one.
const MAX_FACTOR: f64 = 100.0;

/// How much later than expected the first chunks of a service's responses arrive: the geometric mean of duration
/// over expectation.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstChunkDelay {
    log_factor: f64,
    rejected_share: f64,
    updated: Option<MonoTime>,
}

impl FirstChunkDelay {
    /// Records a response whose first chunk was expected after `expected` and arrived after `took`.
    pub fn observe(&mut self, now: MonoTime, expected: Duration, took: Duration) {
        self.forget_old(now);
        let factor = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let log_factor = factor.clamp(1.0, MAX_FACTOR).ln();
        self.log_factor += SMOOTHING * (log_factor - self.log_factor);
        self.rejected_share -= SMOOTHING * self.rejected_share;
        self.updated = Some(now);
    }

    /// Records an attempt that an upstream rejected.
    pub fn rejected(&mut self, now: MonoTime) {
        self.forget_old(now);
        self.rejected_share += SMOOTHING * (1.0 - self.rejected_share);
        self.updated = Some(now);
    }

    /// The present expectation of a first chunk that is expected after `expected` by the upstream's known work. Never
    /// less than `expected`.
    pub fn corrected(&self, now: MonoTime, expected: Duration) -> Duration {
        let factor = if self.is_recent(now) { self.log_factor.exp() } else { 1.0 };
        expected.mul_f64(factor)
    }

    /// Whether upstreams reject most attempts.
    pub fn are_most_rejected(&self, now: MonoTime) -> bool {
        self.is_recent(now) && self.rejected_share > 0.5
    }

    fn forget_old(&mut self, now: MonoTime) {
        if !self.is_recent(now) {
            *self = Self::default();
        }
    }

    fn is_recent(&self, now: MonoTime) -> bool {
        self.updated.is_some_and(|updated| now.since(updated) < MEMORY)
    }
}
