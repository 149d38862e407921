//! Error responses to callers: problem JSON (RFC 9457) with an additional member `error`, which clients
//! of chat completions read.

use std::time::Duration;

use serde::Serialize;
use stallhoist_core::NotRunReason;
use stallhoist_core::Outcome;

const TYPE_PREFIX: &str = "urn:stallhoist:problem:";

/// An error response to a caller.
#[derive(Debug, Clone)]
pub(crate) struct Problem {
    pub(crate) status: u16,
    pub(crate) code: String,
    pub(crate) detail: String,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    error: ErrorMember<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorMember<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
}

impl Problem {
    /// The error of a request that was rejected before routing.
    pub(crate) fn not_routed(status: u16, code: &str, detail: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_owned(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    pub(crate) fn bad_header(name: &str, detail: &str) -> Self {
        Self::not_routed(400, "bad-header", format!("header {name}: {detail}"))
    }

    /// The error of a request that provably did not run.
    pub(crate) fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        let (status, detail) = match reason {
            NotRunReason::NotAllowed => (403, "the workspace may not use this model or service"),
            NotRunReason::Withdrawn => (409, "the version is withdrawn; start a new session"),
            NotRunReason::Draining => (409, "the version takes no new work; start a new session"),
            NotRunReason::DuplicateKey => (409, "another request holds this idempotency key"),
            NotRunReason::Overloaded => (429, "it could not be started before its deadline"),
            NotRunReason::LimitReached => (429, "a limit of the workspace is used up"),
            NotRunReason::Held => (503, "the version is held back"),
            NotRunReason::DeadlinePassed => (504, "the deadline passed before it was started"),
            NotRunReason::StoreUnavailable => (503, "the platform's store does not answer"),
            NotRunReason::NoTable => (503, "no table is in force yet"),
            NotRunReason::NoUpstream
            | NotRunReason::Leaving
            | NotRunReason::NotServed
            | NotRunReason::Barred
            | NotRunReason::UpstreamUnreachable => (503, "no upstream can take it now"),
        };
        let is_lasting = matches!(status, 403 | 409);
        Self {
            status,
            code: reason.to_string(),
            detail: format!("not run: {detail}"),
            outcome: Outcome::NotRun,
            retry_after: (!is_lasting).then_some(retry_after),
        }
    }

    /// The error of a request that ran, or may have run, without a complete response.
    pub(crate) fn no_response(outcome: Outcome, code: &str, detail: impl Into<String>) -> Self {
        let status = if code == "deadline-passed" { 504 } else { 502 };
        Self { status, code: code.to_owned(), detail: detail.into(), outcome, retry_after: None }
    }

    /// The response body as problem JSON.
    pub(crate) fn body(&self) -> Vec<u8> {
        let retry_after_ms = self.retry_after.map(millis);
        let body = ProblemBody {
            r#type: format!("{TYPE_PREFIX}{}", self.code),
            title: &self.code,
            status: self.status,
            detail: &self.detail,
            outcome: self.outcome,
            retry_after_ms,
            error: ErrorMember { message: &self.detail, r#type: &self.code, code: &self.code },
        };
        serde_json::to_vec(&body).expect("a problem can be serialized")
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
