//! A bound on the engine time of second attempts while engine time is scarce.

use std::time::Duration;

use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;

use crate::overload::EnginePrice;

/// Time constant of the sums of engine time.
const RECENT: Duration = Duration::from_secs(10);

/// Why an attempt is made after the first one of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondAttempt {
    /// The first one failed, or its stream broke.
    Repeat,
    /// The response of a smaller model is poor.
    StepUp,
}

/// Limits the engine time of second attempts of a service to a fraction of what first attempts took recently. In force
/// only while engine time has a price.
///
/// A step-up must fit into what repeats leave of the fraction; a repeat only competes with other repeats, as without
/// one its request fails, whereas a poor response is still a response.
#[derive(Debug, Clone)]
pub struct EngineTimeBudget {
    max_fraction: f64,
    first_ms: f64,
    repeat_ms: f64,
    step_up_ms: f64,
    updated: MonoTime,
}

impl EngineTimeBudget {
    /// Creates a budget for second attempts that take `percent` of the engine time of first attempts.
    pub fn new(percent: u32) -> Self {
        Self {
            max_fraction: f64::from(percent) / 100.0,
            first_ms: 0.0,
            repeat_ms: 0.0,
            step_up_ms: 0.0,
            updated: MonoTime::default(),
        }
    }

    /// Records a first attempt that is expected to take `time`.
    pub fn record_first(&mut self, now: MonoTime, time: EngineTime) {
        self.decay(now);
        self.first_ms += time.as_millis();
    }

    /// Records a second attempt that is expected to take `time`.
    pub fn record_second(&mut self, now: MonoTime, kind: SecondAttempt, time: EngineTime) {
        self.decay(now);
        match kind {
            SecondAttempt::Repeat => self.repeat_ms += time.as_millis(),
            SecondAttempt::StepUp => self.step_up_ms += time.as_millis(),
        }
    }

    /// Whether there is engine time for a second attempt that is expected to take `time`.
    pub fn allows(
        &mut self,
        now: MonoTime,
        price: EnginePrice,
        kind: SecondAttempt,
        time: EngineTime,
    ) -> bool {
        if price.is_free() {
            return true;
        }
        self.decay(now);
        let used_ms = match kind {
            SecondAttempt::Repeat => self.repeat_ms,
            SecondAttempt::StepUp => self.repeat_ms + self.step_up_ms,
        };
        used_ms + time.as_millis() <= self.max_fraction * self.first_ms
    }

    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.updated);
        let kept = (-elapsed.as_secs_f64() / RECENT.as_secs_f64()).exp();
        self.first_ms *= kept;
        self.repeat_ms *= kept;
        self.step_up_ms *= kept;
        self.updated = now;
    }
}
