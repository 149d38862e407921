//! Money, in millionths of the operators' currency unit.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;
use crate::TokenCount;

const TOKENS_PER_PRICE_UNIT: u64 = 1_000;

/// An amount in millionths of the operators' currency unit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CostMicros(pub u64);

impl CostMicros {
    /// The cost of `tokens` at a price of this amount per 1,000 tokens, rounded up.
    #[must_use]
    pub fn for_tokens(self, tokens: TokenCount) -> Self {
        Self((self.0 * tokens.0).div_ceil(TOKENS_PER_PRICE_UNIT))
    }
}

impl Add for CostMicros {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sum for CostMicros {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::default(), Add::add)
    }
}

impl fmt::Display for CostMicros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for CostMicros {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let micros = text.parse().map_err(|_| NumberError(text.to_owned()))?;
        Ok(Self(micros))
    }
}
