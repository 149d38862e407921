//! A duration with its unit, as in `8.5 s`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// a time needs a number and a unit (ms, s, min, h), as in "8.5 s"
#[derive(Debug, Display, thiserror::Error, PartialEq, Eq)]
pub struct TimeSpanError;

/// A duration with its unit, as in `8.5 s` or `250 ms`: the author of a settings template has the value in some unit,
/// possibly with a fraction, and need not convert it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(Duration::from_secs(s))
    }

    /// Converts to the type of the standard library.
    pub const fn as_duration(self) -> Duration {
        self.0
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0.as_secs_f64())
    }
}

impl FromStr for TimeSpan {
    type Err = TimeSpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = text.trim().rsplit_once(' ').ok_or(TimeSpanError)?;
        let number: f64 = number.trim().parse().map_err(|_| TimeSpanError)?;
        let unit_s = match unit {
            "ms" => 0.001,
            "s" => 1.0,
            "min" => 60.0,
            "h" => 3_600.0,
            _ => return Err(TimeSpanError),
        };
        let time = Duration::try_from_secs_f64(number * unit_s).map_err(|_| TimeSpanError)?;
        Ok(Self(time))
    }
}

impl TryFrom<String> for TimeSpan {
    type Error = TimeSpanError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<TimeSpan> for String {
    fn from(time: TimeSpan) -> Self {
        time.to_string()
    }
}
