//! What the gateway needs from whoever knows the headers spoken on the wire.

use std::fmt;
use std::time::Duration;

use displaydoc::Display;
use http::HeaderMap;
use http::request;
use http::response;
use stallhoist_core::InstanceId;
use stallhoist_core::KeyDigest;
use stallhoist_core::ModelName;
use stallhoist_core::Prompt;
use stallhoist_core::WorkspaceName;

use crate::upstream_report::UpstreamReport;

/// Which model a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestedModel {
    /// The request is not for a model.
    None,
    /// The system chooses among the route's models.
    Any,
    /// This one.
    Named(ModelName),
}

/// The head of a caller's request.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// The caller's id of this attempt of its own.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The digest of its key.
    pub key: Option<KeyDigest>,
    /// Which model it asks for.
    pub model: RequestedModel,
    /// What it says of its prompt.
    pub prompt: Option<Prompt>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// The last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
}

/// What the system adds to a request that it sends to an upstream.
#[derive(Debug, Clone)]
pub struct AttemptHead<'a> {
    /// The upstream it is meant for.
    pub instance: &'a InstanceId,
    /// The time that is left.
    pub remaining: Duration,
    /// Whose request it is.
    pub workspace: Option<&'a WorkspaceName>,
    /// The model that the system chose.
    pub model: Option<&'a ModelName>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
}

/// The head of an upstream's reply.
#[derive(Debug, Clone, Default)]
pub struct ReplyHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the upstream promises that the request has not run and will not.
    pub is_not_run: bool,
    /// Whether it carries the upstream's seal, without which no success is passed on.
    pub is_sealed: bool,
    /// The model's own opinion of the answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// What the upstream says of itself.
    pub upstream_report: UpstreamReport,
}

/// the header {header} is {problem}
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct CallError {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// Translates between heads on the wire and the gateway's types.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// The caller's id of a request, for the log of those that cannot be read.
    fn call_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Fails when a header is missing or cannot be read.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, CallError>;

    /// The headers of a request to an upstream: the caller's, without those that concern
    /// one connection or that only the system may set, and what the system adds.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an upstream's reply.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// The headers of a reply that are passed on to the caller.
    fn caller_headers(&self, reply: &HeaderMap) -> HeaderMap;
}
