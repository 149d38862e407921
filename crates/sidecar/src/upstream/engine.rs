//! Streaming calls to a model engine.

use std::sync::Arc;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::Response;
use stallhoist_core::AttemptId;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;
use stallhoist_wire::messages::FinalKind;

use super::CallOutcome;
use super::non_streaming;
use super::upstream_request_id;
use crate::answer::Answer;
use crate::shared::Shared;

/// The event that ends a complete stream.
const DONE_EVENT: &str = "[DONE]";
/// The maximum number of times a broken connection to the engine is resumed.
const MAX_RESUMES: u32 = 2;

/// The URL of an attempt's stream on the engine.
pub(super) fn stream_url(shared: &Shared, id: AttemptId) -> String {
    let base = shared.settings.upstream.url.trim_end_matches('/');
    format!("{base}/v1/streams/{}", upstream_request_id(id))
}

pub(super) async fn call_streaming(shared: &Arc<Shared>, answer: &Arc<Answer>) -> CallOutcome {
    let response = match non_streaming::send(shared, answer).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    let status = response.status();
    answer.set_head(non_streaming::head(&response));
    if !status.is_success() {
        if let Err(outcome) = non_streaming::forward_body(response, answer).await {
            return outcome;
        }
        return CallOutcome::Other {
            kind: FinalKind::UpstreamError,
            detail: format!("upstream answered with status {}", status.as_u16()),
        };
    }
    read_stream(shared, answer, response).await
}

/// Reads a stream to its final event. A broken connection is resumed if the engine still has
/// the stream.
async fn read_stream(shared: &Arc<Shared>, answer: &Arc<Answer>, first: Response) -> CallOutcome {
    let mut usage = None;
    let mut response = first;
    for _ in 0..=MAX_RESUMES {
        if forward_events(shared, answer, response, &mut usage).await {
            let counted = counted_usage(answer);
            return CallOutcome::Whole(usage.unwrap_or(counted));
        }
        let from = answer.chunk_count();
        let url = format!("{}?from={from}", stream_url(shared, answer.id));
        response = match shared.http.get(url).send().await {
            Ok(response) if response.status().is_success() => response,
            _ => break,
        };
    }
    CallOutcome::truncated("upstream broke off before the end of its answer")
}

/// Appends events to the response. Returns whether the final event was received.
async fn forward_events(
    shared: &Shared,
    answer: &Answer,
    response: Response,
    usage: &mut Option<Usage>,
) -> bool {
    let mut events = response.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if event.data == DONE_EVENT {
            return true;
        }
        if let Some(reported) = reported_usage(&event.data) {
            *usage = Some(reported);
        } else {
            let may_start_queued = shared.admission.lock().token(shared.now(), &answer.id);
            if may_start_queued {
                shared.admission_changed.notify_one();
            }
        }
        answer.push(Bytes::from(event.data));
    }
    false
}

fn reported_usage(data: &str) -> Option<Usage> {
    // Most events have no usage, and parsing each of them would dominate the cost.
    if !data.contains("\"usage\"") {
        return None;
    }
    let event: non_streaming::UsageEnvelope = serde_json::from_str(data).ok()?;
    event.usage.map(Usage::from)
}

/// The usage if the engine reports none: prompt tokens of the dispatch and received chunks.
fn counted_usage(answer: &Answer) -> Usage {
    Usage {
        prompt_tokens: TokenCount(answer.dispatch.prompt_tokens),
        completion_tokens: TokenCount(answer.chunk_count() as u64),
    }
}
