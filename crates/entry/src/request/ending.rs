//! How a request ends.

use std::time::Duration;

use stallhoist_core::NotRunReason;
use stallhoist_core::Outcome;

/// How a request ends, with what the caller needs to know.
#[derive(Debug, Clone)]
pub(crate) enum EndKind {
    /// The whole answer is there.
    Whole,
    /// It did not run.
    NotRun { reason: NotRunReason, retry_after: Duration },
    /// The upstream answered with an error.
    UpstreamError { http_status: u16, content_type: String, body: Vec<u8> },
    /// The upstream broke off, and it was not tried again.
    Truncated { detail: String },
    /// Its deadline passed before its answer was whole. Whether its answer had begun: if
    /// not, it may or may not have run.
    DeadlinePassed { has_begun: bool },
    /// What became of it cannot be found out.
    Unknown,
}

/// The end of a request.
#[derive(Debug, Clone)]
pub(crate) struct Ending {
    pub(crate) kind: EndKind,
    pub(crate) attempts: u32,
}

impl Ending {
    pub(crate) fn outcome(&self) -> Outcome {
        match self.kind {
            EndKind::Whole => Outcome::Completed,
            EndKind::NotRun { .. } => Outcome::NotRun,
            EndKind::UpstreamError { .. } | EndKind::Truncated { .. } => Outcome::Failed,
            EndKind::DeadlinePassed { has_begun: true } => Outcome::Failed,
            EndKind::DeadlinePassed { has_begun: false } | EndKind::Unknown => Outcome::Unknown,
        }
    }
}
