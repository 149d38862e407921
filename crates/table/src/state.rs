//! Whether a version accepts requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::CellError;

/// Whether a version accepts requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Accepts all requests.
    #[default]
    Active,
    /// Accepts only requests of sessions that started on it.
    Draining,
    /// Accepts no new requests, not even of sessions that started on it.
    Withdrawn,
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Draining => "draining",
            Self::Withdrawn => "withdrawn",
        })
    }
}

impl FromStr for VersionState {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        match text {
            "active" => Ok(Self::Active),
            "draining" => Ok(Self::Draining),
            "withdrawn" => Ok(Self::Withdrawn),
            _ => Err(CellError::BadValue {
                value: text.to_owned(),
                expected: "active, draining or withdrawn",
            }),
        }
    }
}
