//! The outcome of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request. Every request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the caller received the complete response.
    Completed,
    /// It did not run and is guaranteed never to run.
    NotRun,
    /// It ran, and the upstream responded with an error.
    Failed,
    /// It may have run. Used only when no process can determine whether it did.
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
