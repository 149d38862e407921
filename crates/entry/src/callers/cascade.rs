//! A cheaper model first, a better one if the rater finds the answer poor.
//!
//! Both legs are one request: one identity, one claim, one bill record that includes
//! both. The first answer is kept until it is judged; if the second leg fails, the
//! first answer is given after all, since it is whole.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use rocket::response::stream::Event;
use stallhoist_core::HostId;
use stallhoist_core::Outcome;

use super::call;
use super::in_flight::InFlight;
use super::reply::Marks;
use super::reply::Reply;
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

/// What one leg came to.
struct Leg {
    order: Order,
    answer: BufferedResponse,
    served_by: Option<HostId>,
    prior: PriorUsage,
}

impl Leg {
    async fn run(shared: &Arc<Shared>, order: Order) -> Self {
        let mut execution = Execution::new(Arc::clone(shared), order);
        let answer = execution.run_buffered().await;
        run::learn(shared, &execution);
        let bill = execution.bill();
        let prior = PriorUsage {
            usage: bill.map(|bill| bill.usage).unwrap_or_default(),
            cost: bill.map(|bill| bill.cost_micros).unwrap_or_default(),
            attempts: execution.order.prior.attempts + answer.ending.attempts,
        };
        let served_by = execution.served_by().cloned();
        Self { order: execution.order.clone(), answer, served_by, prior }
    }

    fn outcome(&self) -> Outcome {
        self.answer.ending.outcome()
    }

    fn is_whole(&self) -> bool {
        matches!(self.answer.ending.kind, EndKind::Whole)
    }
}

/// Claims what must be claimed, then runs the legs.
pub(crate) async fn run(shared: &Arc<Shared>, orders: [Order; 2], place: InFlight) -> Reply {
    let [first, second] = orders;
    let claim = match call::claim(shared, &first).await {
        Ok(claim) => claim,
        Err(problem) => {
            run::log_end(shared, &first, &problem.code, problem.outcome, 0);
            let marks = Marks { request: Some(first.request), ..Marks::default() };
            return Reply::Problem(problem, marks.held(place));
        }
    };
    let leg = run_legs(shared, first, second).await;
    let ending = &leg.answer.ending;
    run::log_end(shared, &leg.order, run::code(&ending.kind), ending.outcome(), ending.attempts);
    if ending.outcome() == Outcome::NotRun
        && let Some(claim) = claim
    {
        claiming::release(shared, claim).await;
    }
    reply(shared, leg, place)
}

/// The leg whose answer the caller gets.
async fn run_legs(shared: &Arc<Shared>, first: Order, second: Order) -> Leg {
    let one = Leg::run(shared, first).await;
    // A first leg of unknown fate must not be followed by a second run of what must run
    // at most once; and where it provably did not run, the caller is told when to come.
    let may_go_on = one.order.is_repeatable;
    if (!one.is_whole() && !may_go_on) || is_good(shared, &one).await {
        return one;
    }
    let order = Order { prior: one.prior, ..second };
    let two = Leg::run(shared, order).await;
    if let Some(host) = &two.served_by {
        ratings::sample(shared, &two.order, host, &two.answer.chunks);
    }
    // The first leg's word stands where it is worth more: a whole answer, or that the
    // request may have run, which a refusal of the second cannot undo.
    let is_refused = two.outcome() == Outcome::NotRun;
    let first_may_have_run = one.outcome() != Outcome::NotRun;
    let first_stands = (one.is_whole() && !two.is_whole()) || (is_refused && first_may_have_run);
    if first_stands { one } else { two }
}

/// Whether the first answer is given. Without the rater's word, what is known of the
/// model decides.
async fn is_good(shared: &Shared, leg: &Leg) -> bool {
    if !leg.is_whole() {
        return false;
    }
    // What must run at most once has run.
    if !leg.order.is_repeatable {
        return true;
    }
    let text = ratings::answer_text(&leg.answer.chunks, leg.order.is_streamed);
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
    let marks = Marks {
        request: Some(leg.order.request),
        target: Some(leg.order.target.to_string()),
        session: run::session(shared, &leg.order, leg.served_by),
        ..Marks::default()
    };
    let BufferedResponse { ending, head, chunks } = leg.answer;
    if !matches!(ending.kind, EndKind::Whole) {
        return run::failure(&ending, marks.held(place));
    }
    if leg.order.is_streamed {
        return events(chunks, marks.held(place));
    }
    let head = head.unwrap_or_default();
    Reply::Whole {
        status: u16::try_from(head.http_status).unwrap_or(200),
        content_type: run::content_type(head.content_type),
        body: chunks.concat(),
        outcome: RequestEnd::outcome(&ending),
        marks: marks.held(place),
    }
}

/// The kept events, and the end mark, since the answer is known to be whole.
fn events(chunks: Vec<Bytes>, marks: Marks) -> Reply {
    let chunks = chunks.into_iter().map(|part| run::event(&part));
    let all: Vec<Event> = chunks.chain([Event::data(run::END_MARK)]).collect();
    Reply::Events { events: Box::pin(stream::iter(all)), marks }
}
