//! A rate in requests per second.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// a rate of requests needs a number of requests a second that is not negative, as in "2.2"
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, thiserror::Error)]
pub struct RequestRateError;

/// A rate in requests per second. It is finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate {
    per_s: f64,
}

impl RequestRate {
    /// Creates a rate from requests per second.
    ///
    /// # Errors
    /// Fails when `per_s` is NaN, infinite or negative.
    pub fn from_per_s(per_s: f64) -> Result<Self, RequestRateError> {
        if per_s.is_finite() && per_s >= 0.0 { Ok(Self { per_s }) } else { Err(RequestRateError) }
    }

    /// The rate in requests per second.
    pub const fn per_s(self) -> f64 {
        self.per_s
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map_err(|_| RequestRateError).and_then(Self::from_per_s)
    }
}
