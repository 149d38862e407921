//! The interface to the implementation of the headers used on the wire.

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

/// The model that a caller requests.
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
    /// The caller's id of the request.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The digest of its key.
    pub key: Option<KeyDigest>,
    /// The model that it requests.
    pub model: RequestedModel,
    /// What it states about its prompt.
    pub prompt: Option<Prompt>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// Id of the last event that the caller received of a broken stream.
    pub last_event: Option<u64>,
}

/// What the system adds to a request that it sends to an upstream.
#[derive(Debug, Clone)]
pub struct AttemptHead<'a> {
    /// The upstream that it is sent to.
    pub instance: &'a InstanceId,
    /// The remaining time.
    pub remaining: Duration,
    /// The workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// The model that the system chose.
    pub model: Option<&'a ModelName>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Priority; 0 is the highest.
    pub priority: u8,
}

/// The head of an upstream's response.
#[derive(Debug, Clone, Default)]
pub struct ReplyHead {
    /// The id of the request that it belongs to.
    pub id: Option<String>,
    /// Whether the upstream guarantees that the request has not run and will not.
    pub is_not_run: bool,
    /// Whether it carries the upstream's seal, without which no success is forwarded.
    pub is_sealed: bool,
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// What the upstream reports about itself.
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
    /// The caller's id of a request, for logging requests that cannot be read.
    fn call_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Fails when a header is missing or cannot be read.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, CallError>;

    /// The headers of a request to an upstream: the caller's, without those that concern one
    /// connection or that only the system may set, and those of `attempt`.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an upstream's response.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// The headers of a response that are forwarded to the caller.
    fn caller_headers(&self, reply: &HeaderMap) -> HeaderMap;
}
