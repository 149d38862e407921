//! The bandwidth of a host's network link.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// a rate needs a number and a unit (kbit/s, Mbit/s, Gbit/s), as in "200 Mbit/s"
#[derive(Debug, Display, thiserror::Error, PartialEq, Eq)]
pub struct LinkRateError;

/// The bandwidth of a host's network link, written with its unit, as in `200 Mbit/s`. Zero means unknown.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct LinkRate {
    bits_per_s: u64,
}

const BITS_PER_MBIT: f64 = 1e6;

impl LinkRate {
    /// Creates a rate from megabits per second.
    pub const fn from_mbit_per_s(mbit_per_s: u64) -> Self {
        Self { bits_per_s: mbit_per_s.saturating_mul(1_000_000) }
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.bits_per_s as f64 / BITS_PER_MBIT)
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = text.trim().rsplit_once(' ').ok_or(LinkRateError)?;
        let number: f64 = number.trim().parse().map_err(|_| LinkRateError)?;
        let bits_per_unit = match unit {
            "kbit/s" => 1e3,
            "Mbit/s" => BITS_PER_MBIT,
            "Gbit/s" => 1e9,
            _ => return Err(LinkRateError),
        };
        let bits_per_s = number * bits_per_unit;
        // The conversion to u64 saturates, which is harmless: no link is that fast.
        let is_rate = bits_per_s.is_finite() && bits_per_s >= 0.0;
        if is_rate { Ok(Self { bits_per_s: bits_per_s as u64 }) } else { Err(LinkRateError) }
    }
}

impl TryFrom<String> for LinkRate {
    type Error = LinkRateError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<LinkRate> for String {
    fn from(rate: LinkRate) -> Self {
        rate.to_string()
    }
}
