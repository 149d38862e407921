//! Calls to the upstream.

mod called;
mod engine;
mod whole;

use std::sync::Arc;

use stallhoist_core::AttemptId;
use stallhoist_wire::messages::FinalKind;

pub(crate) use called::Called;

use crate::answer::Answer;
use crate::shared::Shared;

/// The header by which the upstream knows the attempt.
const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Runs an attempt on the upstream and writes its answer.
pub(crate) async fn call(shared: &Arc<Shared>, answer: &Arc<Answer>) -> Called {
    if shared.is_engine() && answer.dispatch.stream {
        engine::call_streaming(shared, answer).await
    } else {
        whole::call_whole(shared, answer).await
    }
}

/// Tells an engine that nobody waits for a generation. A plain call cannot be stopped.
pub(crate) async fn cancel(shared: &Shared, answer: &Answer) {
    if !shared.is_engine() {
        return;
    }
    let url = engine::stream_url(shared, answer.id);
    let _ = shared.http.delete(url).send().await;
}

/// Whether an end counts against the version.
pub(crate) fn is_failure(kind: FinalKind) -> bool {
    matches!(kind, FinalKind::UpstreamError | FinalKind::Truncated)
}

/// The attempt's name towards the upstream: safe in a path.
fn upstream_id(id: AttemptId) -> String {
    format!("{}-{}", id.request, id.number)
}
