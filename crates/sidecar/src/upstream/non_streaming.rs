//! Calls with a response body in one piece: plain services, and engines without streaming.

use bytes::Bytes;
use futures_util::StreamExt;
use reqwest::Method;
use reqwest::Response;
use reqwest::header::CONTENT_TYPE;
use serde::Deserialize;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;
use stallhoist_wire::messages::FinalKind;

use super::CallOutcome;
use super::REQUEST_ID_HEADER;
use super::upstream_request_id;
use crate::answer::Answer;
use crate::answer::Head;
use crate::shared::Shared;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The token usage in a response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct UsageReport {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl From<UsageReport> for Usage {
    fn from(report: UsageReport) -> Self {
        Self {
            prompt_tokens: TokenCount(report.prompt_tokens),
            completion_tokens: TokenCount(report.completion_tokens),
        }
    }
}

/// A response or an event of a stream, of which only the usage is parsed.
#[derive(Debug, Default, Deserialize)]
pub(super) struct UsageEnvelope {
    #[serde(default)]
    pub(super) usage: Option<UsageReport>,
}

pub(super) async fn call_non_streaming(shared: &Shared, answer: &Answer) -> CallOutcome {
    let response = match send(shared, answer).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    let status = response.status();
    answer.set_head(head(&response));
    let body = match forward_body(response, answer).await {
        Ok(body) => body,
        Err(outcome) => return outcome,
    };
    if !status.is_success() {
        return CallOutcome::Other {
            kind: FinalKind::UpstreamError,
            detail: format!("upstream answered with status {}", status.as_u16()),
        };
    }
    if !shared.is_engine() {
        return CallOutcome::Whole(Usage::default());
    }
    match serde_json::from_slice::<UsageEnvelope>(&body) {
        Ok(report) => CallOutcome::Whole(report.usage.unwrap_or_default().into()),
        Err(_) => CallOutcome::truncated("upstream's answer is not whole"),
    }
}

/// Sends the request. The error is the outcome of the call.
pub(super) async fn send(shared: &Shared, answer: &Answer) -> Result<Response, CallOutcome> {
    let dispatch = &answer.dispatch;
    let url = format!("{}{}", shared.settings.upstream.url.trim_end_matches('/'), dispatch.path);
    let method: Method = dispatch.method.parse().unwrap_or(Method::POST);
    let mut request = shared
        .http
        .request(method, url)
        .header(REQUEST_ID_HEADER, upstream_request_id(answer.id))
        .body(dispatch.body.clone());
    if !dispatch.content_type.is_empty() {
        request = request.header(CONTENT_TYPE, &dispatch.content_type);
    }
    if !dispatch.idempotency_key.is_empty() {
        request = request.header(IDEMPOTENCY_KEY_HEADER, &dispatch.idempotency_key);
    }
    request.send().await.map_err(|error| {
        // Only a refused connection proves that nothing ran.
        if error.is_connect() {
            CallOutcome::Unreachable
        } else {
            CallOutcome::truncated(format!("upstream broke off: {error}"))
        }
    })
}

pub(super) fn head(response: &Response) -> Head {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Head {
        http_status: response.status().as_u16(),
        content_type: content_type.unwrap_or(DEFAULT_CONTENT_TYPE).to_owned(),
    }
}

/// Appends a body to the response as it arrives, and returns it complete.
pub(super) async fn forward_body(
    response: Response,
    answer: &Answer,
) -> Result<Bytes, CallOutcome> {
    let mut parts = response.bytes_stream();
    let mut whole = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|e| CallOutcome::truncated(format!("upstream broke off: {e}")))?;
        whole.extend_from_slice(&part);
        answer.push(part);
    }
    Ok(Bytes::from(whole))
}
