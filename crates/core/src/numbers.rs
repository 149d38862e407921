//! Distinct types for counters and sizes, so that they cannot be confused.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// '{0}' is not a whole number from 0 to 2^64-1
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct NumberError(pub String);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                let value = text.parse().map_err(|_| NumberError(text.to_owned()))?;
                Ok(Self(value))
            }
        }
    };
}

number_type!(
    /// The revision of the operators' table. It never decreases.
    Revision
);
number_type!(
    /// The number of an attempt to run a request, from 1.
    AttemptNumber
);
number_type!(
    /// A number that grows with each holder of a lease; the receiver of an order
    /// rejects a token lower than the highest it has seen.
    FencingToken
);
number_type!(
    /// A number of model tokens.
    TokenCount
);
number_type!(
    /// The version of the routing configuration. It never decreases and may skip values.
    ConfigVersion
);
number_type!(
    /// How often the platform's store was restored from a copy. Writes acknowledged after the copy was
    /// made are lost, and their version numbers are assigned again.
    StoreEra
);
number_type!(
    /// When an upstream started, in Unix milliseconds by its own clock, which may jump.
    StartTime
);
