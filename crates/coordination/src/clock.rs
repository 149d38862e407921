//! The clock that a process hands to its decision code.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use stallhoist_core::MonoTime;

/// A monotonic clock that counts from the start of the process, and goes on while the host is suspended.
/// The only place where decision code's time comes from.
///
/// The system's steady clock stands still meanwhile. By that one each copy, lease, session and
/// deadline was as fresh after a suspension as before it.
#[derive(Debug, Clone)]
pub struct ProcessClock {
    /// On the clock that counts suspensions.
    started: Duration,
    /// On the steady clock.
    started_steady: Instant,
    suspensions: SimulatedSuspensions,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::start_with(SimulatedSuspensions::default())
    }

    /// The same, with suspensions that are only played.
    pub fn start_with(suspensions: SimulatedSuspensions) -> Self {
        Self { started: time_since_boot(), started_steady: Instant::now(), suspensions }
    }

    /// The present time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default().after(self.elapsed())
    }

    /// A point of this clock as an instant of the steady one, to sleep until. A suspension before that
    /// puts it off by as much.
    pub fn instant(&self, time: MonoTime) -> Instant {
        Instant::now() + time.since(self.now())
    }

    /// How long the host has been suspended in all since the process started.
    pub fn suspended(&self) -> Duration {
        // The steady clock first: what passes between the two readings is no suspension.
        let steady = self.started_steady.elapsed();
        self.elapsed().saturating_sub(steady)
    }

    fn elapsed(&self) -> Duration {
        let elapsed = time_since_boot().saturating_sub(self.started);
        elapsed + self.suspensions.total()
    }
}

/// Suspensions that are only played, for tests: all that reads the clock sees them.
#[derive(Debug, Clone, Default)]
pub struct SimulatedSuspensions {
    micros: Arc<AtomicU64>,
}

impl SimulatedSuspensions {
    /// The host is suspended for so long, now.
    pub fn add(&self, gap: Duration) {
        let micros = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
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
