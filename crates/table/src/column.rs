//! The columns of the operators' table.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::CellError;

macro_rules! columns {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// A column of the table. `KeyDigest` and `QualityTargetPercent` belong to a whole
        /// workspace, all others to a row of a target.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Column {
            $($(#[$doc])* $name,)*
        }

        impl Column {
            /// All columns, in the order of the CSV export.
            pub const ALL: &[Self] = &[$(Self::$name,)*];
        }

        impl fmt::Display for Column {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$name => $text,)* })
            }
        }

        impl FromStr for Column {
            type Err = CellError;

            fn from_str(text: &str) -> Result<Self, CellError> {
                match text {
                    $($text => Ok(Self::$name),)*
                    other => Err(CellError::UnknownColumn(other.to_owned())),
                }
            }
        }
    };
}

columns! {
    /// Whether the workspace may use the target: `yes` or `no`.
    Allowed = "allowed",
    /// `active`, `draining` or `withdrawn`.
    State = "state",
    /// The version's share of the new requests for its model, relative to the weights of the
    /// model's other versions.
    Weight = "weight",
    /// The maximum share of the new requests for its model that the version gets, in percent.
    RampPercent = "ramp_percent",
    /// The maximum number of requests in progress, fleet-wide; 0 means no limit.
    MaxInFlightRequests = "max_in_flight_requests",
    /// The maximum rate in requests per second, fleet-wide; 0 means no limit.
    MaxRequestsPerS = "max_requests_per_s",
    /// The maximum rate in tokens per second, fleet-wide; 0 means no limit.
    MaxTokensPerS = "max_tokens_per_s",
    /// The price of 1,000 tokens, in millionths of the operators' currency unit.
    CostMicrosPer1kTokens = "cost_micros_per_1k_tokens",
    /// Whether calls may be repeated: `yes`, or `no` for all callers.
    Repeatable = "repeatable",
    /// The position in the cascade of models, from 1, cheapest first; 0 means not in the cascade.
    CascadePlace = "cascade_place",
    /// How often the guard's hold of the version was cleared; `stallhoist hold clear`
    /// increments it.
    GuardResets = "guard_resets",
    /// The SHA-256 of the workspace's bearer key.
    KeyDigest = "key_digest",
    /// The minimum share of good responses, in percent.
    QualityTargetPercent = "quality_target_percent",
}

impl Column {
    /// Whether the column belongs to a whole workspace, not to a row of a target.
    pub fn is_workspace_column(self) -> bool {
        matches!(self, Self::KeyDigest | Self::QualityTargetPercent)
    }
}
