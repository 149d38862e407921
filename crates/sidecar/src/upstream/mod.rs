//! Calls to the upstream.

mod call_outcome;
mod engine;
mod non_streaming;

use std::sync::Arc;

use stallhoist_core::AttemptId;
use stallhoist_wire::messages::FinalKind;

pub(crate) use call_outcome::CallOutcome;

use crate::answer::Answer;
use crate::shared::Shared;

/// The header that carries the attempt's id to the upstream.
const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Runs an attempt on the upstream and writes its response.
pub(crate) async fn call(shared: &Arc<Shared>, answer: &Arc<Answer>) -> CallOutcome {
    if shared.is_engine() && answer.dispatch.stream {
        engine::call_streaming(shared, answer).await
    } else {
        non_streaming::call_non_streaming(shared, answer).await
    }
}

/// Cancels a generation on an engine. A call of a plain service cannot be cancelled.
pub(crate) async fn cancel(shared: &Shared, answer: &Answer) {
    if !shared.is_engine() {
        return;
    }
    let url = engine::stream_url(shared, answer.id);
    let _ = shared.http.delete(url).send().await;
}

/// Whether an end counts as a failure of the version.
pub(crate) fn is_failure(kind: FinalKind) -> bool {
    matches!(kind, FinalKind::UpstreamError | FinalKind::Truncated)
}

/// The attempt's id in requests to the upstream, which is safe in a URL path.
fn upstream_request_id(id: AttemptId) -> String {
    format!("{}-{}", id.request, id.number)
}
