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

use super::Called;
use super::upstream_id;
use super::whole;
use crate::answer::Answer;
use crate::shared::Shared;

/// The event that ends a whole stream.
const END_MARK: &str = "[DONE]";
/// A connection to the engine that breaks is resumed so often.
const MAX_RESUMES: u32 = 2;

/// Where an engine keeps the stream of an attempt.
pub(super) fn stream_url(shared: &Shared, id: AttemptId) -> String {
    let base = shared.settings.upstream.url.trim_end_matches('/');
    format!("{base}/v1/streams/{}", upstream_id(id))
}

pub(super) async fn call_streaming(shared: &Arc<Shared>, answer: &Arc<Answer>) -> Called {
    let response = match whole::send(shared, answer).await {
        Ok(response) => response,
        Err(called) => return called,
    };
    let status = response.status();
    answer.set_head(whole::head(&response));
    if !status.is_success() {
        if let Err(called) = whole::pass_body(response, answer).await {
            return called;
        }
        return Called::Other {
            kind: FinalKind::UpstreamError,
            detail: format!("upstream answered with status {}", status.as_u16()),
        };
    }
    follow(shared, answer, response).await
}

/// Follows a stream to its end mark, over a break if the engine still has it.
async fn follow(shared: &Arc<Shared>, answer: &Arc<Answer>, first: Response) -> Called {
    let mut usage = None;
    let mut response = first;
    for _ in 0..=MAX_RESUMES {
        if pass_events(shared, answer, response, &mut usage).await {
            let counted = counted_usage(answer);
            return Called::Whole(usage.unwrap_or(counted));
        }
        let from = answer.chunk_count();
        let url = format!("{}?from={from}", stream_url(shared, answer.id));
        response = match shared.http.get(url).send().await {
            Ok(response) if response.status().is_success() => response,
            _ => break,
        };
    }
    Called::truncated("upstream broke off before the end of its answer")
}

/// Passes events on; whether the end mark came.
async fn pass_events(
    shared: &Shared,
    answer: &Answer,
    response: Response,
    usage: &mut Option<Usage>,
) -> bool {
    let mut events = response.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if event.data == END_MARK {
            return true;
        }
        if let Some(reported) = reported_usage(&event.data) {
            *usage = Some(reported);
        } else {
            let has_room = shared.admission.lock().token(shared.now(), &answer.id);
            if has_room {
                shared.admission_changed.notify_one();
            }
        }
        answer.push(Bytes::from(event.data));
    }
    false
}

fn reported_usage(data: &str) -> Option<Usage> {
    // Most events carry none, and parsing each would cost more than all else here.
    if !data.contains("\"usage\"") {
        return None;
    }
    let event: whole::WithUsage = serde_json::from_str(data).ok()?;
    event.usage.map(Usage::from)
}

/// The usage of an engine that reports none: what was sent and what came.
fn counted_usage(answer: &Answer) -> Usage {
    Usage {
        prompt_tokens: TokenCount(answer.dispatch.prompt_tokens),
        completion_tokens: TokenCount(answer.chunk_count() as u64),
    }
}
