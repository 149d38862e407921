//! How hard pressed the engines are, by the times that their answers take.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// The weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.05;

/// The time in which the pressure halves without answers.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The time until the first part of an answer, as a part of what is aimed for: a moving
/// average over the answers that one entry has seen of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pressure {
    average: f64,
    updated: MonoTime,
}

impl Pressure {
    /// The first part of an answer came, or was given up, after `time`.
    pub fn observe(&mut self, now: MonoTime, time: Duration, target: Duration) {
        if target.is_zero() {
            return;
        }
        let part = time.as_secs_f64() / target.as_secs_f64();
        let average = self.at(now);
        self.average = average + NEWEST_WEIGHT * (part - average);
        self.updated = now;
    }

    /// The average now: 1 means that answers come just in time.
    pub fn at(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.average * 0.5f64.powf(half_lives)
    }
}
