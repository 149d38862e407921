//! A token bucket.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// The capacity of a bucket, as the time in which it fills.
const BURST_WINDOW_S: f64 = 1.0;

/// A token bucket that may be overdrawn: a single take may exceed the level, and the next one
/// has to wait until the deficit is refilled.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Bucket {
    /// The time of the last update and the level then. None before the first use: a new bucket
    /// has been filling since the start of the process, as an earlier one may have emptied it.
    last_update: Option<(MonoTime, f64)>,
}

impl Bucket {
    /// Refills the bucket at `rate_per_s` and returns the time until something may be taken; none
    /// if that is now.
    pub(super) fn wait(&mut self, now: MonoTime, rate_per_s: f64) -> Option<Duration> {
        let burst = (rate_per_s * BURST_WINDOW_S).max(1.0);
        let level = match self.last_update {
            Some((at, level)) => (level + now.since(at).as_secs_f64() * rate_per_s).min(burst),
            None => (now.since(MonoTime::default()).as_secs_f64() * rate_per_s).clamp(1.0, burst),
        };
        self.last_update = Some((now, level));
        let missing = 1.0 - level;
        (missing > 0.0).then(|| Duration::from_secs_f64(missing / rate_per_s))
    }

    /// Takes an amount, which may exceed the level.
    pub(super) fn take(&mut self, amount: f64) {
        if let Some((_, level)) = &mut self.last_update {
            *level -= amount;
        }
    }
}
