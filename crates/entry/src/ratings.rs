//! Has a sample of the responses rated by the platform's rating service.
//!
//! A rating is counted at the sidecar that served the request, which collects all counts about its
//! version.

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

/// The lowest score of a good response; a lower one is poor.
const GOOD_SCORE: f64 = 0.5;

/// Has a complete response rated if it is sampled. Runs in the background, so that the caller does not
/// wait.
pub(crate) fn sample(shared: &Arc<Shared>, order: &Order, host: &HostId, chunks: &[Bytes]) {
    if !is_sampled(shared, order) {
        return;
    }
    let Some(answer) = answer_text(chunks, order.is_streamed) else {
        return;
    };
    let shared = Arc::clone(shared);
    let (order, host) = (order.clone(), host.clone());
    tokio::spawn(async move {
        rate(&shared, &order, &host, answer).await;
    });
}

/// Whether a response is sampled. Every response is, if its model may be used in a cascade and has too
/// few ratings.
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

/// Has a response rated and counted. Returns whether it is good, or `None` if the rating service did
/// not respond.
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

/// The text of a chat response, from its body or from its events.
pub(crate) fn answer_text(chunks: &[Bytes], is_streamed: bool) -> Option<String> {
    if is_streamed {
        let texts = chunks.iter().filter_map(|chunk| text_at(chunk, "delta"));
        return Some(texts.collect());
    }
    text_at(&chunks.concat(), "message")
}

fn text_at(json: &[u8], member: &str) -> Option<String> {
    let body: Value = serde_json::from_slice(json).ok()?;
    let text = body.get("choices")?.get(0)?.get(member)?.get("content")?;
    Some(text.as_str()?.to_owned())
}
