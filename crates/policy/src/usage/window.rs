//! Windows of the wall clock.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::NumberError;

/// A window of the wall clock: number 0 begins at the Unix epoch, and all are equally long.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window that contains a time of day, given as a duration since the Unix epoch.
    pub fn containing(unix: Duration, length: Duration) -> Self {
        let number = unix.as_nanos() / length.as_nanos().max(1);
        Self(u64::try_from(number).unwrap_or(u64::MAX))
    }

    /// The time of day at which the window ends.
    pub fn end(self, length: Duration) -> Duration {
        let end_ns = (u128::from(self.0) + 1) * length.as_nanos();
        Duration::from_millis(u64::try_from(end_ns / 1_000_000).unwrap_or(u64::MAX))
    }

    /// The next window.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window before this one.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// The windows from this one to `last`, both included.
    pub fn through(self, last: Self) -> impl Iterator<Item = Self> {
        (self.0..=last.0).map(Self)
    }
}

impl fmt::Display for UsageWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for UsageWindow {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        text.parse().map(Self).map_err(|_| NumberError(text.to_owned()))
    }
}
