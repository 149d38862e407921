//! Identifiers that processes make up.

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
            /// A new identifier that carries the present time (UUID version 7).
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }

            /// The identifier made of these bits, for seeded callers and messages.
            pub fn from_u128(bits: u128) -> Self {
                Self(Uuid::from_u128(bits))
            }

            /// The sixteen bytes that go into messages.
            pub fn as_bytes(&self) -> &[u8; 16] {
                self.0.as_bytes()
            }

            /// Reads the sixteen bytes of a message.
            ///
            /// # Errors
            /// Fails when there are not exactly sixteen.
            pub fn from_slice(bytes: &[u8]) -> Result<Self, IdError> {
                let id = Uuid::from_slice(bytes).map_err(|_| IdError(format!("{} bytes", bytes.len())))?;
                Ok(Self(id))
            }

            /// The wall-clock time the identifier carries, in milliseconds since 1970;
            /// zero when it carries none.
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
    /// One request of a caller, from arrival to its final answer. The bill's key.
    RequestId
);
id_type!(
    /// One edit of the operators' table, by which a lost reply is settled.
    EditId
);
id_type!(
    /// One life of a process: a restart has another.
    IncarnationId
);
