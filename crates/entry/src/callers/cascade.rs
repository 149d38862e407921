//! Runs a cascade: a cheaper model first, then a better one if the rating service rates the response as
//! poor.
//!
//! Both legs are one request with one id, one claim and one bill record that includes both. The first
//! response is kept until it is rated. If the second leg fails, the caller gets the first response,
//! since it is complete.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use rocket::response::stream::Event;
use stallhoist_core::HostId;
use stallhoist_core::Outcome;

use super::call;
use super::in_flight::InFlight;
use super::reply::Reply;
use super::reply::ResponseMetadata;
use super::run;
use crate::claiming;
use crate::learners;
use crate::ratings;
use crate::request::BufferedResponse;
use crate::request::EndKind;
use crate::request::Execution;
use crate::request::Order;
use crate::request::PriorUsage;
use crate::request::RequestEnd;
use crate::shared::Shared;

/// The result of one leg.
struct Leg {
    order: Order,
    response: BufferedResponse,
    served_by: Option<HostId>,
    prior: PriorUsage,
}

impl Leg {
    async fn run(shared: &Arc<Shared>, order: Order) -> Self {
        let mut execution = Execution::new(Arc::clone(shared), order);
        let response = execution.run_buffered().await;
        run::record_statistics(shared, &execution);
        let bill = execution.bill();
        let prior = PriorUsage {
            usage: bill.map(|bill| bill.usage).unwrap_or_default(),
            cost: bill.map(|bill| bill.cost_micros).unwrap_or_default(),
            attempts: execution.order.prior.attempts + response.ending.attempts,
        };
        let served_by = execution.served_by().cloned();
        Self { order: execution.order.clone(), response, served_by, prior }
    }

    fn outcome(&self) -> Outcome {
        self.response.ending.outcome()
    }

    fn is_whole(&self) -> bool {
        matches!(self.response.ending.kind, EndKind::Whole)
    }
}

/// Claims the idempotency key if required, then runs the legs.
pub(crate) async fn run(shared: &Arc<Shared>, orders: [Order; 2], place: InFlight) -> Reply {
    let [first, second] = orders;
    let claim = match call::claim(shared, &first).await {
        Ok(claim) => claim,
        Err(problem) => {
            run::log_end(shared, &first, &problem.code, problem.outcome, 0);
            let metadata =
                ResponseMetadata { request: Some(first.request), ..ResponseMetadata::default() };
            return Reply::Problem(problem, metadata.with_slot(place));
        }
    };
    let leg = run_legs(shared, first, second).await;
    let ending = &leg.response.ending;
    run::log_end(shared, &leg.order, run::code(&ending.kind), ending.outcome(), ending.attempts);
    if ending.outcome() == Outcome::NotRun
        && let Some(claim) = claim
    {
        claiming::release(shared, claim).await;
    }
    reply(shared, leg, place)
}

/// Runs the legs and returns the one whose result the caller gets.
async fn run_legs(shared: &Arc<Shared>, first: Order, second: Order) -> Leg {
    let cheap = Leg::run(shared, first).await;
    // If a request that must run at most once may have run, there must be no second leg. If it provably
    // did not run, the caller gets the first leg's retry delay.
    let may_continue = cheap.order.is_repeatable;
    if (!cheap.is_whole() && !may_continue) || is_good(shared, &cheap).await {
        return cheap;
    }
    let order = Order { prior: cheap.prior, ..second };
    let better = Leg::run(shared, order).await;
    if let Some(host) = &better.served_by {
        ratings::sample(shared, &better.order, host, &better.response.chunks);
    }
    // The first leg's result takes precedence if only it is complete, or if the second leg was rejected
    // but the first may have run: the request must then not be reported as not run.
    let is_refused = better.outcome() == Outcome::NotRun;
    let first_may_have_run = cheap.outcome() != Outcome::NotRun;
    let use_first = (cheap.is_whole() && !better.is_whole()) || (is_refused && first_may_have_run);
    if use_first { cheap } else { better }
}

/// Whether the caller gets the first leg's response. Without a rating, the statistics of the model
/// decide.
async fn is_good(shared: &Shared, leg: &Leg) -> bool {
    if !leg.is_whole() {
        return false;
    }
    // The request must run at most once and has run.
    if !leg.order.is_repeatable {
        return true;
    }
    let text = ratings::answer_text(&leg.response.chunks, leg.order.is_streamed);
    let (Some(text), Some(host)) = (text, &leg.served_by) else {
        return false;
    };
    if let Some(is_good) = ratings::rate(shared, &leg.order, host, text).await {
        return is_good;
    }
    let table = shared.table.current();
    let row = table.as_ref().and_then(|table| table.workspace(&leg.order.workspace));
    let target = row.map_or(0.0, |row| f64::from(row.quality_target_percent) / 100.0);
    let model = learners::model_of(&leg.order.target);
    let mut learners = shared.learners.lock();
    model.is_some_and(|model| learners.learner(&leg.order.kind()).meets_target(model, target))
}

fn reply(shared: &Shared, leg: Leg, place: InFlight) -> Reply {
    let metadata = ResponseMetadata {
        request: Some(leg.order.request),
        target: Some(leg.order.target.to_string()),
        session: run::session(shared, &leg.order, leg.served_by),
        ..ResponseMetadata::default()
    };
    let BufferedResponse { ending, head, chunks } = leg.response;
    if !matches!(ending.kind, EndKind::Whole) {
        return run::failure(&ending, metadata.with_slot(place));
    }
    if leg.order.is_streamed {
        return events(chunks, metadata.with_slot(place));
    }
    let head = head.unwrap_or_default();
    Reply::Whole {
        status: u16::try_from(head.http_status).unwrap_or(200),
        content_type: run::content_type(head.content_type),
        body: chunks.concat(),
        outcome: RequestEnd::outcome(&ending),
        metadata: metadata.with_slot(place),
    }
}

/// The buffered events followed by the end marker, since the response is complete.
fn events(chunks: Vec<Bytes>, metadata: ResponseMetadata) -> Reply {
    let chunks = chunks.into_iter().map(|chunk| run::event(&chunk));
    let all: Vec<Event> = chunks.chain([Event::data(run::END_MARKER)]).collect();
    Reply::Events { events: Box::pin(stream::iter(all)), metadata }
}
