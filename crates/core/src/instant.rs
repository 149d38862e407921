//! A point in time that decision code is given, never asks for.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on one process's monotonic clock, in microseconds since its start.
///
/// Decision code takes it as an argument, so that tests and benches drive time.
/// Values of two processes must not be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The point `later` after this one.
    #[must_use]
    pub fn after(self, later: Duration) -> Self {
        let micros = u64::try_from(later.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The point `earlier` before this one; the start of the clock if that lies further back.
    #[must_use]
    pub fn before(self, earlier: Duration) -> Self {
        let micros = u64::try_from(earlier.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// How much time has passed since `earlier`; zero when it lies ahead.
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
