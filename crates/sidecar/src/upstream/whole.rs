//! Calls whose answer comes as one body: plain services, and engines without streaming.

use bytes::Bytes;
use futures_util::StreamExt;
use reqwest::Method;
use reqwest::Response;
use reqwest::header::CONTENT_TYPE;
use serde::Deserialize;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;
use stallhoist_wire::messages::FinalKind;

use super::Called;
use super::REQUEST_ID_HEADER;
use super::upstream_id;
use crate::answer::Answer;
use crate::answer::Head;
use crate::shared::Shared;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The part of an answer that says what was used.
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

/// An answer, or one event of it, as far as the usage goes.
#[derive(Debug, Default, Deserialize)]
pub(super) struct WithUsage {
    #[serde(default)]
    pub(super) usage: Option<UsageReport>,
}

pub(super) async fn call_whole(shared: &Shared, answer: &Answer) -> Called {
    let response = match send(shared, answer).await {
        Ok(response) => response,
        Err(called) => return called,
    };
    let status = response.status();
    answer.set_head(head(&response));
    let body = match pass_body(response, answer).await {
        Ok(body) => body,
        Err(called) => return called,
    };
    if !status.is_success() {
        return Called::Other {
            kind: FinalKind::UpstreamError,
            detail: format!("upstream answered with status {}", status.as_u16()),
        };
    }
    if !shared.is_engine() {
        return Called::Whole(Usage::default());
    }
    match serde_json::from_slice::<WithUsage>(&body) {
        Ok(report) => Called::Whole(report.usage.unwrap_or_default().into()),
        Err(_) => Called::truncated("upstream's answer is not whole"),
    }
}

/// Sends the attempt; an error says what became of it.
pub(super) async fn send(shared: &Shared, answer: &Answer) -> Result<Response, Called> {
    let dispatch = &answer.dispatch;
    let url = format!("{}{}", shared.settings.upstream.url.trim_end_matches('/'), dispatch.path);
    let method: Method = dispatch.method.parse().unwrap_or(Method::POST);
    let mut request = shared
        .http
        .request(method, url)
        .header(REQUEST_ID_HEADER, upstream_id(answer.id))
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
            Called::Unreachable
        } else {
            Called::truncated(format!("upstream broke off: {error}"))
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

/// Passes a body on as it comes and gives it whole.
pub(super) async fn pass_body(response: Response, answer: &Answer) -> Result<Bytes, Called> {
    let mut parts = response.bytes_stream();
    let mut whole = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|e| Called::truncated(format!("upstream broke off: {e}")))?;
        whole.extend_from_slice(&part);
        answer.push(part);
    }
    Ok(Bytes::from(whole))
}
