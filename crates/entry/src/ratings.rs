//! A sample of answers is rated by the platform's service, and the rating counted at the
//! sidecar that served, where all evidence about a version comes together.

use std::sync::Arc;

use serde_json::Value;
use stallhoist_core::HostId;
use stallhoist_core::RequestId;
use stallhoist_core::Target;
use stallhoist_platform::RatingRequest;
use stallhoist_wire::messages::Rated;
use stallhoist_wire::messages::frame::Body;

use crate::shared::Shared;

/// Answers with a lower score are poor.
pub(crate) const GOOD_SCORE: f64 = 0.5;

/// Has a whole answer rated, if it falls into the sample. The caller does not wait.
pub(crate) fn sample(
    shared: &Arc<Shared>,
    request: RequestId,
    target: &Target,
    host: &HostId,
    body: &[u8],
) {
    let percent = shared.settings.ratings.sample_percent;
    if !rand::random_bool((percent / 100.0).clamp(0.0, 1.0)) {
        return;
    }
    let Some(answer) = answer_text(body) else {
        return;
    };
    let shared = Arc::clone(shared);
    let (target, host) = (target.clone(), host.clone());
    tokio::spawn(async move {
        rate(&shared, request, &target, &host, answer).await;
    });
}

/// Has an answer rated and counted; the score, if the rater gave one.
pub(crate) async fn rate(
    shared: &Shared,
    request: RequestId,
    target: &Target,
    host: &HostId,
    answer: String,
) -> Option<f64> {
    let Target::Version(version) = target else {
        return None;
    };
    let rating = RatingRequest { request, version: version.clone(), answer };
    let score = shared.platform.rate(&rating).await.ok()?.score;
    let rated = Rated { target: target.to_string(), poor: score < GOOD_SCORE };
    if let Some(link) = shared.links.get(host) {
        let _ = link.try_send(Body::Rated(rated));
    }
    Some(score)
}

/// The text of a whole chat answer.
pub(crate) fn answer_text(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let text = body.get("choices")?.get(0)?.get("message")?.get("content")?;
    Some(text.as_str()?.to_owned())
}
