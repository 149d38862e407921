//! A token bucket.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// The time whose rate may be used at once.
const BURST_S: f64 = 1.0;

/// A token bucket that may be overdrawn: what is taken at once may be more than is left, and
/// then nothing more is until it has been made up for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Bucket {
    /// None before the first use: a new bucket is full.
    filled: Option<(MonoTime, f64)>,
}

impl Bucket {
    /// Fills at so much a second. Gives how long it takes until something may be taken; none
    /// when that is now.
    pub(super) fn wait(&mut self, now: MonoTime, rate_per_s: f64) -> Option<Duration> {
        let burst = (rate_per_s * BURST_S).max(1.0);
        let level = match self.filled {
            Some((at, level)) => (level + now.since(at).as_secs_f64() * rate_per_s).min(burst),
            None => burst,
        };
        self.filled = Some((now, level));
        let missing = 1.0 - level;
        (missing > 0.0).then(|| Duration::from_secs_f64(missing / rate_per_s))
    }

    /// Takes what was waited for.
    pub(super) fn take(&mut self, amount: f64) {
        if let Some((_, level)) = &mut self.filled {
            *level -= amount;
        }
    }
}
