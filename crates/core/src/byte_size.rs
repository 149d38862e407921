//! A number of bytes with its unit, as in `64 MB`.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// a size needs a number and a unit (B, kB, MB, GB, KiB, MiB, GiB), as in "64 MB"
#[derive(Debug, Display, thiserror::Error, PartialEq, Eq)]
pub struct ByteSizeError;

/// A number of bytes, written with its unit, as in `64 MB` or `4 MiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(usize);

const BYTES_PER_KB: usize = 1_000;

impl ByteSize {
    /// Creates a size from bytes.
    pub const fn from_bytes(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Creates a size from megabytes.
    pub const fn from_mb(mb: usize) -> Self {
        Self(mb.saturating_mul(BYTES_PER_KB * BYTES_PER_KB))
    }

    /// The number of bytes.
    pub const fn as_bytes(self) -> usize {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} kB", self.0 as f64 / BYTES_PER_KB as f64)
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = text.trim().rsplit_once(' ').ok_or(ByteSizeError)?;
        let number: f64 = number.trim().parse().map_err(|_| ByteSizeError)?;
        let bytes_per_unit = match unit {
            "B" => 1.0,
            "kB" => 1e3,
            "MB" => 1e6,
            "GB" => 1e9,
            "KiB" => f64::from(1 << 10),
            "MiB" => f64::from(1 << 20),
            "GiB" => f64::from(1 << 30),
            _ => return Err(ByteSizeError),
        };
        let bytes = number * bytes_per_unit;
        // The conversion to usize saturates, which is harmless: no host has as much.
        let is_size = bytes.is_finite() && bytes >= 0.0;
        if is_size { Ok(Self(bytes.round() as usize)) } else { Err(ByteSizeError) }
    }
}

impl TryFrom<String> for ByteSize {
    type Error = ByteSizeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}
