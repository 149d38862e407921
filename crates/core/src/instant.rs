//! Points in time that are passed to decision code, which reads no clock itself.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on a process's monotonic clock, in microseconds since the start of the process.
///
/// Decision code takes it as an argument, so that tests and benchmarks control time.
/// Values of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The point `later` after this one; saturates at the maximum.
    #[must_use]
    pub fn after(self, later: Duration) -> Self {
        let micros = u64::try_from(later.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The point `earlier` before this one; saturates at the start of the clock.
    #[must_use]
    pub fn before(self, earlier: Duration) -> Self {
        let micros = u64::try_from(earlier.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The time elapsed since `earlier`; zero when `earlier` is later than this point.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
