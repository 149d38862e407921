//! A sample of answers is rated by the platform's service, and the rating counted at the
//! sidecar that served, where all evidence about a version comes together.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::Value;
use stallhoist_core::HostId;
use stallhoist_core::Target;
use stallhoist_platform::RatingRequest;
use stallhoist_wire::messages::Rated;
use stallhoist_wire::messages::frame::Body;

use crate::learners;
use crate::request::Order;
use crate::shared::Shared;

/// Answers with a lower score are poor.
const GOOD_SCORE: f64 = 0.5;

/// Has a whole answer rated, if it falls into the sample. The caller does not wait.
pub(crate) fn sample(shared: &Arc<Shared>, order: &Order, host: &HostId, parts: &[Bytes]) {
    if !is_sampled(shared, order) {
        return;
    }
    let Some(answer) = answer_text(parts, order.is_streamed) else {
        return;
    };
    let shared = Arc::clone(shared);
    let (order, host) = (order.clone(), host.clone());
    tokio::spawn(async move {
        rate(&shared, &order, &host, answer).await;
    });
}

/// Of a model that may stand in a cascade and is little known, every answer is.
fn is_sampled(shared: &Shared, order: &Order) -> bool {
    let percent = shared.settings.ratings.sample_percent;
    if rand::random_bool((percent / 100.0).clamp(0.0, 1.0)) {
        return true;
    }
    let table = shared.table.current();
    let row = table.as_ref().and_then(|table| table.row(&order.workspace, &order.target));
    let Some(model) = learners::model_of(&order.target) else {
        return false;
    };
    let may_cascade = row.is_some_and(|row| row.cascade_place > 0);
    may_cascade && shared.learners.lock().learner(&order.kind()).needs_ratings(model)
}

/// Has an answer rated and counted; whether it is good, if the rater says so.
pub(crate) async fn rate(
    shared: &Shared,
    order: &Order,
    host: &HostId,
    answer: String,
) -> Option<bool> {
    let Target::Version(version) = &order.target else {
        return None;
    };
    let request = order.request;
    let rating = RatingRequest { request, version: version.clone(), answer };
    let Ok(rating) = shared.platform.rate(&rating).await else {
        shared.learners.lock().rater_failed(shared.now());
        return None;
    };
    let is_good = rating.score >= GOOD_SCORE;
    shared.learners.lock().learner(&order.kind()).rated(&version.model, is_good);
    let rated = Rated { target: order.target.to_string(), poor: !is_good };
    if let Some(link) = shared.links.get(host) {
        let _ = link.try_send(Body::Rated(rated));
    }
    Some(is_good)
}

/// The text of a chat answer, from its one body or from its events.
pub(crate) fn answer_text(parts: &[Bytes], is_streamed: bool) -> Option<String> {
    if is_streamed {
        let texts = parts.iter().filter_map(|part| text_at(part, "delta"));
        return Some(texts.collect());
    }
    text_at(&parts.concat(), "message")
}

fn text_at(json: &[u8], holder: &str) -> Option<String> {
    let body: Value = serde_json::from_slice(json).ok()?;
    let text = body.get("choices")?.get(0)?.get(holder)?.get("content")?;
    Some(text.as_str()?.to_owned())
}
