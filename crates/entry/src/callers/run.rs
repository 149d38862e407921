//! Running an order for a caller, whole or streamed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::BoxStream;
use rocket::response::stream::Event;
use stallhoist_coordination::PendingClaim;
use stallhoist_core::CostMicros;
use stallhoist_core::HostId;
use stallhoist_core::Outcome;
use stallhoist_core::Target;

use super::call;
use super::in_flight::InFlight;
use super::problem::Problem;
use super::reply::Marks;
use super::reply::Reply;
use crate::claiming;
use crate::learners;
use crate::metrics::OutcomeLabel;
use crate::ratings;
use crate::request::EndKind;
use crate::request::Execution;
use crate::request::Order;
use crate::request::RequestEnd;
use crate::request::Step;
use crate::session::SessionToken;
use crate::shared::Shared;

/// The event that ends a whole stream.
pub(super) const END_MARK: &str = "[DONE]";
const DEFAULT_CONTENT_TYPE: &str = "application/json";

/// Claims what must be claimed, then runs.
pub(crate) async fn run(shared: &Arc<Shared>, order: Order, place: InFlight) -> Reply {
    let marks = Marks {
        request: Some(order.request),
        target: Some(order.target.to_string()),
        ..Marks::default()
    };
    let claim = match call::claim(shared, &order).await {
        Ok(claim) => claim,
        Err(problem) => {
            log_end(shared, &order, &problem.code, problem.outcome, 0);
            return Reply::Problem(problem, marks.held(place));
        }
    };
    let is_streamed = order.is_streamed;
    let run = Run { execution: Execution::new(Arc::clone(shared), order), claim, place };
    if is_streamed { run.streamed(shared, marks).await } else { run.whole(shared, marks).await }
}

struct Run {
    execution: Execution,
    claim: Option<PendingClaim>,
    place: InFlight,
}

impl Run {
    async fn whole(mut self, shared: &Arc<Shared>, marks: Marks) -> Reply {
        let answer = self.execution.run_buffered().await;
        self.ended(shared, &answer.ending).await;
        if !matches!(answer.ending.kind, EndKind::Whole) {
            return failure(&answer.ending, marks.held(self.place));
        }
        let served_by = self.execution.served_by().cloned();
        learn(shared, &self.execution);
        if let Some(host) = &served_by {
            ratings::sample(shared, &self.execution.order, host, &answer.chunks);
        }
        let marks = Marks { session: session(shared, &self.execution.order, served_by), ..marks };
        let head = answer.head.unwrap_or_default();
        Reply::Whole {
            status: u16::try_from(head.http_status).unwrap_or(200),
            content_type: content_type(head.content_type),
            body: answer.chunks.concat(),
            outcome: Outcome::Completed,
            marks: marks.held(self.place),
        }
    }

    /// Waits for the beginning of the answer, so that a refusal has its own status.
    async fn streamed(mut self, shared: &Arc<Shared>, marks: Marks) -> Reply {
        let first = loop {
            match self.execution.next().await {
                Step::Head(_) => {}
                Step::Chunk(part) => break part,
                Step::End(ending) => {
                    self.ended(shared, &ending).await;
                    return match ending.kind {
                        EndKind::Whole => empty_stream(marks.held(self.place)),
                        _ => failure(&ending, marks.held(self.place)),
                    };
                }
            }
        };
        let upstream_host = self.execution.upstream_host().cloned();
        let marks =
            Marks { session: session(shared, &self.execution.order, upstream_host), ..marks };
        let shared = Arc::clone(shared);
        let waited = shared.now().since(self.execution.order.arrived);
        shared.metrics.first_byte_seconds.observe(waited.as_secs_f64());
        let events = rocket::async_stream::stream! {
            yield event(&first);
            loop {
                match self.execution.next().await {
                    Step::Head(_) => {}
                    Step::Chunk(part) => yield event(&part),
                    Step::End(ending) => {
                        self.ended(&shared, &ending).await;
                        yield last_event(&ending);
                        break;
                    }
                }
            }
        };
        let events: BoxStream<'static, Event> = Box::pin(events);
        Reply::Events { events, marks }
    }

    /// Counts and logs the end, and frees the claim of what did not run.
    async fn ended(&mut self, shared: &Arc<Shared>, ending: &RequestEnd) {
        let order = &self.execution.order;
        log_end(shared, order, code(&ending.kind), ending.outcome(), ending.attempts);
        if ending.outcome() == Outcome::NotRun
            && let Some(claim) = self.claim.take()
        {
            claiming::release(shared, claim).await;
        }
    }
}

/// Takes in what a whole answer cost and how long it took.
pub(super) fn learn(shared: &Shared, execution: &Execution) {
    let order = &execution.order;
    let (Some(model), Some(bill)) = (learners::model_of(&order.target), execution.bill()) else {
        return;
    };
    let cost = CostMicros(bill.cost_micros.0.saturating_sub(order.prior.cost.0));
    let took = shared.now().since(order.arrived);
    shared.learners.lock().learner(&order.kind()).answered(model, cost, took);
}

pub(super) fn log_end(shared: &Shared, order: &Order, code: &str, outcome: Outcome, attempts: u32) {
    let label = OutcomeLabel { outcome: outcome.to_string() };
    shared.metrics.requests.get_or_create(&label).inc();
    let took = shared.now().since(order.arrived);
    log::info!(
        request:% = order.request,
        attempts,
        workspace:% = order.workspace,
        target:% = order.target,
        task = order.task.as_ref().map(ToString::to_string).unwrap_or_default(),
        revision = shared.table.revision().0,
        outcome:% = outcome,
        code,
        took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        "request ended"
    );
}

pub(super) fn code(kind: &EndKind) -> &'static str {
    match kind {
        EndKind::Whole => "whole",
        EndKind::NotRun { .. } => "not-run",
        EndKind::UpstreamError { .. } => "upstream-error",
        EndKind::Truncated { .. } => "truncated",
        EndKind::DeadlinePassed { .. } => "deadline-passed",
        EndKind::Unknown => "unknown",
    }
}

pub(super) fn failure(ending: &RequestEnd, marks: Marks) -> Reply {
    // What the upstream itself says of a bad request is for the caller.
    if let EndKind::UpstreamError { http_status, content_type: kind, body } = &ending.kind
        && (400..500).contains(http_status)
    {
        return Reply::Whole {
            status: *http_status,
            content_type: content_type(kind.clone()),
            body: body.clone(),
            outcome: Outcome::Failed,
            marks,
        };
    }
    Reply::Problem(problem(ending), marks)
}

fn problem(ending: &RequestEnd) -> Problem {
    let outcome = ending.outcome();
    let code = code(&ending.kind);
    match &ending.kind {
        EndKind::NotRun { reason, retry_after } => Problem::not_run(*reason, *retry_after),
        EndKind::UpstreamError { http_status, .. } => {
            let detail = format!("the upstream answered with status {http_status}");
            Problem::without_answer(outcome, code, detail)
        }
        EndKind::Truncated { detail } => Problem::without_answer(outcome, code, detail.clone()),
        EndKind::DeadlinePassed { .. } => {
            Problem::without_answer(outcome, code, "the deadline passed before its end")
        }
        EndKind::Whole | EndKind::Unknown => {
            let detail = "it may have run: what became of it cannot be found out";
            Problem::without_answer(Outcome::Unknown, code, detail)
        }
    }
}

/// A token by which the caller's next request goes on with this one's version.
/// Plain services have no versions to stay on.
pub(super) fn session(shared: &Shared, order: &Order, host: Option<HostId>) -> Option<String> {
    if matches!(order.target, Target::Service(_)) {
        return None;
    }
    let token = SessionToken {
        workspace: order.workspace.clone(),
        target: order.target.clone(),
        host: host?,
    };
    Some(shared.session_keys.sign(&token))
}

pub(super) fn content_type(given: String) -> String {
    if given.is_empty() { DEFAULT_CONTENT_TYPE.to_owned() } else { given }
}

pub(super) fn event(part: &[u8]) -> Event {
    Event::data(String::from_utf8_lossy(part).into_owned())
}

/// The end mark only after a whole answer; else an error that clients raise.
fn last_event(ending: &RequestEnd) -> Event {
    match ending.kind {
        EndKind::Whole => Event::data(END_MARK),
        _ => event(&problem(ending).body()),
    }
}

fn empty_stream(marks: Marks) -> Reply {
    let only = futures_util::stream::once(async { Event::data(END_MARK) });
    Reply::Events { events: Box::pin(only), marks }
}

/// When all places for requests are taken.
pub(crate) fn no_place() -> Reply {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    Problem::not_run(stallhoist_core::NotRunReason::Overloaded, RETRY_AFTER).into()
}
