//! The result of a request.

use std::time::Duration;

use stallhoist_core::NotRunReason;
use stallhoist_core::Outcome;

/// How a request ended, with what the reply to the caller needs.
#[derive(Debug, Clone)]
pub(crate) enum EndKind {
    /// The response is complete.
    Whole,
    /// The request provably did not run.
    NotRun { reason: NotRunReason, retry_after: Duration },
    /// The upstream responded with an error status.
    UpstreamError { http_status: u16, content_type: String, body: Vec<u8> },
    /// The response is incomplete, and the request was not retried.
    Truncated { detail: String },
    /// The deadline passed before the response was complete. `has_started` says whether the response
    /// had started; if not, the request may or may not have run.
    DeadlinePassed { has_started: bool },
    /// Whether the request ran cannot be determined.
    Unknown,
}

/// The result of a request and the number of its attempts.
#[derive(Debug, Clone)]
pub(crate) struct RequestEnd {
    pub(crate) kind: EndKind,
    pub(crate) attempts: u32,
}

impl RequestEnd {
    pub(crate) fn outcome(&self) -> Outcome {
        match self.kind {
            EndKind::Whole => Outcome::Completed,
            EndKind::NotRun { .. } => Outcome::NotRun,
            EndKind::UpstreamError { .. } | EndKind::Truncated { .. } => Outcome::Failed,
            EndKind::DeadlinePassed { has_started: true } => Outcome::Failed,
            EndKind::DeadlinePassed { has_started: false } | EndKind::Unknown => Outcome::Unknown,
        }
    }
}
