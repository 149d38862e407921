//! How often places become free.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// Time over which ends are averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(2_000);

/// Time of observation before the rate is used.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// Rate at which this gateway's requests at a service end.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EndRate {
    began: Option<MonoTime>,
    updated: MonoTime,
    /// Sum of the ends, each decayed by its age.
    decayed_ends: f64,
}

impl EndRate {
    pub(super) fn record(&mut self, now: MonoTime) {
        self.began.get_or_insert(now);
        self.decayed_ends = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Ends per second; `None` until enough was observed.
    pub(super) fn per_s(&self, now: MonoTime) -> Option<f64> {
        let observed = now.since(self.began?);
        if observed < MIN_OBSERVED {
            return None;
        }
        let share = 1.0 - (-observed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        Some(self.decayed(now) / (AVERAGING_TIME.as_secs_f64() * share))
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.decayed_ends * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
