//! Whether a version takes work.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::CellError;

/// Whether a version takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Takes new work.
    #[default]
    Active,
    /// Takes only work of sessions that started on it.
    Draining,
    /// Takes no new work at all, not even of its sessions.
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
