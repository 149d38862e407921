//! Why a request was not run.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal $text:literal,)*) => {
        /// Why a request was not run. Each reason has a code for messages and a text for callers.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum NotRunReason {
            $($(#[$doc])* $name,)*
        }

        impl NotRunReason {
            /// The code of the reason in messages.
            pub fn code(self) -> u32 {
                match self { $(Self::$name => $code,)* }
            }

            /// The reason with this code; `None` for an unknown code.
            pub fn from_code(code: u32) -> Option<Self> {
                match code { $($code => Some(Self::$name),)* _ => None }
            }
        }

        impl fmt::Display for NotRunReason {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$name => $text,)* })
            }
        }

        impl FromStr for NotRunReason {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                match text {
                    $($text => Ok(Self::$name),)*
                    other => Err(NumberError(other.to_owned())),
                }
            }
        }
    };
}

reasons! {
    /// The workspace's rows in the operators' table do not allow the target.
    NotAllowed = 1 "not-allowed",
    /// The version is withdrawn.
    Withdrawn = 2 "withdrawn",
    /// The upstream is draining and accepts no new requests.
    Leaving = 3 "leaving",
    /// The admission queue could not start the request before its deadline.
    Overloaded = 4 "overloaded",
    /// A limit of its row in the operators' table is exhausted.
    LimitReached = 5 "limit-reached",
    /// No upstream for the target can be reached.
    NoUpstream = 6 "no-upstream",
    /// The request needs the platform's store, which does not respond.
    StoreUnavailable = 7 "store-unavailable",
    /// Another request has claimed its idempotency key.
    DuplicateKey = 8 "duplicate-key",
    /// The sidecar does not serve the target.
    NotServed = 9 "not-served",
    /// The attempt was barred before it arrived.
    Barred = 10 "barred",
    /// The process has not loaded the operators' table yet.
    NoTable = 11 "no-table",
    /// The deadline passed before the request was started.
    DeadlinePassed = 12 "deadline-passed",
    /// The guard holds the version.
    Held = 13 "held",
    /// The upstream refused the connection.
    UpstreamUnreachable = 14 "upstream-unreachable",
    /// The version is draining and accepts only requests of sessions that started on it.
    Draining = 15 "draining",
}
