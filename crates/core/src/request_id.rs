//! Identifiers that processes generate.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// '{0}' is not an identifier in UUID form
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct IdError(pub String);

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Uuid);

        impl $name {
            /// Generates an identifier that contains the current time (UUID version 7).
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }

            /// Creates an identifier from its bits, for seeded generators and for messages.
            pub fn from_u128(bits: u128) -> Self {
                Self(Uuid::from_u128(bits))
            }

            /// Returns the 16 bytes that are sent in messages.
            pub fn as_bytes(&self) -> &[u8; 16] {
                self.0.as_bytes()
            }

            /// Reads an identifier from 16 bytes of a message.
            ///
            /// # Errors
            /// Fails when `bytes` does not hold exactly 16 bytes.
            pub fn from_slice(bytes: &[u8]) -> Result<Self, IdError> {
                let id = Uuid::from_slice(bytes).map_err(|_| IdError(format!("{} bytes", bytes.len())))?;
                Ok(Self(id))
            }

            /// The wall-clock time in the identifier, in Unix milliseconds; 0 when it contains
            /// none.
            pub fn unix_ms(&self) -> u64 {
                const MS_PER_S: u64 = 1_000;
                const NS_PER_MS: u32 = 1_000_000;
                self.0.get_timestamp().map_or(0, |stamp| {
                    let (seconds, nanos) = stamp.to_unix();
                    seconds * MS_PER_S + u64::from(nanos / NS_PER_MS)
                })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let id = Uuid::parse_str(text).map_err(|_| IdError(text.to_owned()))?;
                Ok(Self(id))
            }
        }
    };
}

id_type!(
    /// One request of a caller, from its arrival to its final response. Bills are stored under it.
    RequestId
);
id_type!(
    /// One edit of the operators' table. A client whose reply was lost uses it to find out whether
    /// the edit was committed.
    EditId
);
id_type!(
    /// One run of a process: each restart gets a new one.
    IncarnationId
);
