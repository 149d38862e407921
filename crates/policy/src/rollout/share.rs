//! A share of requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A share of requests, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Permille(u16);

impl Permille {
    /// The share next to a fraction from 0 to 1.
    pub fn of(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1_000.0).round() as u16)
    }

    /// The share as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for Permille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in 1000", self.0)
    }
}
