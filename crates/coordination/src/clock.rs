//! The clock of a process.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use stallhoist_core::MonoTime;

/// A monotonic clock that starts with the process and includes the time while the host is
/// suspended. All decision code gets its time from it.
///
/// [`Instant`] does not advance during a suspension, so with it cached state, leases, sessions
/// and deadlines would not expire.
#[derive(Debug, Clone)]
pub struct ProcessClock {
    /// The start by the boot-time clock, which includes suspensions.
    started: Duration,
    /// The start by the clock that excludes suspensions.
    started_instant: Instant,
    suspensions: SimulatedSuspensions,
}

impl ProcessClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self::start_with(SimulatedSuspensions::default())
    }

    /// Starts a clock that adds simulated suspensions.
    pub fn start_with(suspensions: SimulatedSuspensions) -> Self {
        Self { started: time_since_boot(), started_instant: Instant::now(), suspensions }
    }

    /// The current time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default().after(self.elapsed())
    }

    /// Converts a time of this clock to an [`Instant`], for timers. A suspension delays that instant
    /// by its duration.
    pub fn instant(&self, time: MonoTime) -> Instant {
        Instant::now() + time.since(self.now())
    }

    /// The total time for which the host was suspended since the process started.
    pub fn suspended(&self) -> Duration {
        // This clock is read first, so that the time between the two readings does not count as a
        // suspension.
        let steady = self.started_instant.elapsed();
        self.elapsed().saturating_sub(steady)
    }

    fn elapsed(&self) -> Duration {
        let elapsed = time_since_boot().saturating_sub(self.started);
        elapsed + self.suspensions.total()
    }
}

/// Simulated suspensions of a clock, for tests.
#[derive(Debug, Clone, Default)]
pub struct SimulatedSuspensions {
    micros: Arc<AtomicU64>,
}

impl SimulatedSuspensions {
    /// Simulates a suspension now.
    pub fn add(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::SeqCst);
    }

    fn total(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::SeqCst))
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}
