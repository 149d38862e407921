//! The clock that a process hands to its decision code.

use std::time::Instant;

use stallhoist_core::MonoTime;

/// A monotonic clock that counts from the start of the process. The only place where
/// decision code's time comes from.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default().after(self.start.elapsed())
    }

    /// A point of this clock as the system's own instant, to sleep until.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.start + time.since(MonoTime::default())
    }
}
