//! Why a request was not run.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal $text:literal,)*) => {
        /// Why a request was not run. Each has a number for messages and a text for callers.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum NotRunReason {
            $($(#[$doc])* $name,)*
        }

        impl NotRunReason {
            /// The number that stands for the reason in messages.
            pub fn code(self) -> u32 {
                match self { $(Self::$name => $code,)* }
            }

            /// The reason a message's number stands for.
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
    /// The workspace's rows do not allow the target.
    NotAllowed = 1 "not-allowed",
    /// The version is withdrawn.
    Withdrawn = 2 "withdrawn",
    /// The upstream is leaving and takes no new work.
    Leaving = 3 "leaving",
    /// The queue could not start it before its deadline.
    Overloaded = 4 "overloaded",
    /// A limit of its row is used up.
    LimitReached = 5 "limit-reached",
    /// No upstream for it can be reached.
    NoUpstream = 6 "no-upstream",
    /// The platform's store is needed for it and does not answer.
    StoreUnavailable = 7 "store-unavailable",
    /// Another request holds its idempotency key.
    DuplicateKey = 8 "duplicate-key",
    /// The sidecar does not serve the target.
    NotServed = 9 "not-served",
    /// The attempt was barred before it came.
    Barred = 10 "barred",
    /// The process has no table yet.
    NoTable = 11 "no-table",
    /// The deadline passed before it was started.
    DeadlinePassed = 12 "deadline-passed",
    /// The version is held back by the guard.
    Held = 13 "held",
    /// The upstream refused the connection.
    UpstreamUnreachable = 14 "upstream-unreachable",
    /// It is not marked as new work: the draining version takes only its sessions.
    Draining = 15 "draining",
}
