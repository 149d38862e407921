//! Processing time of an engine.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use crate::NumberError;

/// Unit of the textual form.
const UNIT: &str = " ms";

/// Processing time of an engine that works at its normal speed, in milliseconds. Never negative.
///
/// A request takes engine time for its prompt and for each generated token. Other requests in the same batch
/// take longer by a part of it, so the duration of a response is not its engine time.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct EngineTime {
    millis: f64,
}

impl EngineTime {
    /// No engine time.
    pub const ZERO: Self = Self { millis: 0.0 };

    /// Engine time in milliseconds. Values that are negative or not numbers count as none.
    pub fn from_millis(millis: f64) -> Self {
        Self { millis: if millis > 0.0 { millis } else { 0.0 } }
    }

    /// This time in milliseconds.
    pub fn as_millis(self) -> f64 {
        self.millis
    }

    /// How long an idle engine works on it.
    pub fn as_duration(self) -> Duration {
        Duration::try_from_secs_f64(self.millis / 1e3).unwrap_or(Duration::MAX)
    }

    /// The difference; none if `other` is longer.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self::from_millis(self.millis - other.millis)
    }
}

impl Add for EngineTime {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { millis: self.millis + other.millis }
    }
}

impl Sum for EngineTime {
    fn sum<I: Iterator<Item = Self>>(times: I) -> Self {
        times.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for EngineTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{UNIT}", self.millis)
    }
}

impl FromStr for EngineTime {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let number = text.strip_suffix(UNIT).and_then(|number| number.parse::<f64>().ok());
        let millis = number.filter(|millis| millis.is_finite() && *millis >= 0.0);
        millis.map(|millis| Self { millis }).ok_or_else(|| NumberError(text.to_owned()))
    }
}
