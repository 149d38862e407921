//! How a request ended.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended. Every request ends in exactly one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the caller has the whole answer.
    Completed,
    /// It did not run and will not: a guarantee.
    NotRun,
    /// It ran, and the upstream answered with an error.
    Failed,
    /// It may have run: said only when no process can tell any more.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}
