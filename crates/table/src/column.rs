//! The columns of the table.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::CellError;

macro_rules! columns {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// A column of the table. The first group belongs to rows of a target,
        /// the last two to a workspace as a whole.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Column {
            $($(#[$doc])* $name,)*
        }

        impl Column {
            /// Every column, in the order of the sheet.
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
    /// The version's part of its model's new work, against its siblings.
    Weight = "weight",
    /// The most of its model's new work that the version may take, in percent.
    RampPercent = "ramp_percent",
    /// The most requests in progress over the whole fleet; 0 means no limit.
    MaxInFlightRequests = "max_in_flight_requests",
    /// The most requests a second over the whole fleet; 0 means no limit.
    MaxRequestsPerS = "max_requests_per_s",
    /// The most tokens a second over the whole fleet; 0 means no limit.
    MaxTokensPerS = "max_tokens_per_s",
    /// What a thousand tokens cost, in millionths of the currency unit.
    CostMicrosPer1kTokens = "cost_micros_per_1k_tokens",
    /// Whether calls may be repeated: `yes`, or `no` for all callers.
    Repeatable = "repeatable",
    /// The place in the cascade of models, from 1, cheapest first; 0 means none.
    CascadePlace = "cascade_place",
    /// How often the guard's hold of the version was cleared; `stallhoist hold clear`
    /// raises it.
    GuardResets = "guard_resets",
    /// The SHA-256 of the workspace's bearer key.
    KeyDigest = "key_digest",
    /// The share of answers that must be good, in percent.
    QualityTargetPercent = "quality_target_percent",
}

impl Column {
    /// Whether the column belongs to the workspace as a whole.
    pub fn is_workspace_column(self) -> bool {
        matches!(self, Self::KeyDigest | Self::QualityTargetPercent)
    }
}
