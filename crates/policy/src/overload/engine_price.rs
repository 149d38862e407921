//! What engine time costs other requests.

use std::fmt;
use std::str::FromStr;

use stallhoist_core::EngineTime;
use stallhoist_core::NumberError;

/// The delay of other requests, in milliseconds, for each millisecond of engine time that a request takes.
/// Zero while there is room; with a queue it is the number of requests that wait behind it.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct EnginePrice(f64);

impl EnginePrice {
    /// Engine time is free: there is room.
    pub const FREE: Self = Self(0.0);

    /// A price. Values that are negative or not numbers count as free.
    pub fn new(delay_per_ms: f64) -> Self {
        Self(if delay_per_ms > 0.0 { delay_per_ms } else { 0.0 })
    }

    /// The delay of other requests by one that takes `time`, in milliseconds.
    pub fn delay_ms(self, time: EngineTime) -> f64 {
        self.0 * time.as_millis()
    }

    /// Whether engine time is free.
    pub fn is_free(self) -> bool {
        self.0 <= 0.0
    }
}

impl fmt::Display for EnginePrice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EnginePrice {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let number = text.parse::<f64>().ok();
        let price = number.filter(|number| number.is_finite() && *number >= 0.0);
        price.map(Self).ok_or_else(|| NumberError(text.to_owned()))
    }
}
