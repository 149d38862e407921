//! Executes an order and builds the response to the caller, either complete or streamed.

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
use super::reply::Reply;
use super::reply::ResponseMetadata;
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

/// The event after the last chunk of a complete streamed response.
pub(super) const END_MARKER: &str = "[DONE]";
const DEFAULT_CONTENT_TYPE: &str = "application/json";

/// Claims the idempotency key if required, then executes the order.
pub(crate) async fn run(shared: &Arc<Shared>, order: Order, place: InFlight) -> Reply {
    let metadata = ResponseMetadata {
        request: Some(order.request),
        target: Some(order.target.to_string()),
        ..ResponseMetadata::default()
    };
    let claim = match call::claim(shared, &order).await {
        Ok(claim) => claim,
        Err(problem) => {
            log_end(shared, &order, &problem.code, problem.outcome, 0);
            return Reply::Problem(problem, metadata.with_slot(place));
        }
    };
    let is_streamed = order.is_streamed;
    let run = Run { execution: Execution::new(Arc::clone(shared), order), claim, place };
    if is_streamed {
        run.streamed(shared, metadata).await
    } else {
        run.buffered(shared, metadata).await
    }
}

struct Run {
    execution: Execution,
    claim: Option<PendingClaim>,
    place: InFlight,
}

impl Run {
    async fn buffered(mut self, shared: &Arc<Shared>, metadata: ResponseMetadata) -> Reply {
        let response = self.execution.run_buffered().await;
        self.finish(shared, &response.ending).await;
        if !matches!(response.ending.kind, EndKind::Whole) {
            return failure(&response.ending, metadata.with_slot(self.place));
        }
        let served_by = self.execution.served_by().cloned();
        record_statistics(shared, &self.execution);
        if let Some(host) = &served_by {
            ratings::sample(shared, &self.execution.order, host, &response.chunks);
        }
        let metadata = ResponseMetadata {
            session: session(shared, &self.execution.order, served_by),
            ..metadata
        };
        let head = response.head.unwrap_or_default();
        Reply::Whole {
            status: u16::try_from(head.http_status).unwrap_or(200),
            content_type: content_type(head.content_type),
            body: response.chunks.concat(),
            outcome: Outcome::Completed,
            metadata: metadata.with_slot(self.place),
        }
    }

    /// Waits for the first chunk before it responds, so that a rejection gets its own HTTP status.
    async fn streamed(mut self, shared: &Arc<Shared>, metadata: ResponseMetadata) -> Reply {
        let first = loop {
            match self.execution.next().await {
                Step::Head(_) => {}
                Step::Chunk(chunk) => break chunk,
                Step::End(ending) => {
                    self.finish(shared, &ending).await;
                    return match ending.kind {
                        EndKind::Whole => empty_stream(metadata.with_slot(self.place)),
                        _ => failure(&ending, metadata.with_slot(self.place)),
                    };
                }
            }
        };
        let upstream_host = self.execution.upstream_host().cloned();
        let metadata = ResponseMetadata {
            session: session(shared, &self.execution.order, upstream_host),
            ..metadata
        };
        let shared = Arc::clone(shared);
        let waited = shared.now().since(self.execution.order.arrived);
        shared.metrics.first_byte_seconds.observe(waited.as_secs_f64());
        let events = rocket::async_stream::stream! {
            yield event(&first);
            loop {
                match self.execution.next().await {
                    Step::Head(_) => {}
                    Step::Chunk(chunk) => yield event(&chunk),
                    Step::End(ending) => {
                        self.finish(&shared, &ending).await;
                        yield last_event(&ending);
                        break;
                    }
                }
            }
        };
        let events: BoxStream<'static, Event> = Box::pin(events);
        Reply::Events { events, metadata }
    }

    /// Counts and logs the end of the request, and releases its claim if it did not run.
    async fn finish(&mut self, shared: &Arc<Shared>, ending: &RequestEnd) {
        let order = &self.execution.order;
        log_end(shared, order, code(&ending.kind), ending.outcome(), ending.attempts);
        if ending.outcome() == Outcome::NotRun
            && let Some(claim) = self.claim.take()
        {
            claiming::release(shared, claim).await;
        }
    }
}

/// Records the cost and latency of a complete response in the model's statistics.
pub(super) fn record_statistics(shared: &Shared, execution: &Execution) {
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

pub(super) fn failure(ending: &RequestEnd, metadata: ResponseMetadata) -> Reply {
    // The upstream's response to a client error is passed on to the caller.
    if let EndKind::UpstreamError { http_status, content_type: kind, body } = &ending.kind
        && (400..500).contains(http_status)
    {
        return Reply::Whole {
            status: *http_status,
            content_type: content_type(kind.clone()),
            body: body.clone(),
            outcome: Outcome::Failed,
            metadata,
        };
    }
    Reply::Problem(problem(ending), metadata)
}

fn problem(ending: &RequestEnd) -> Problem {
    let outcome = ending.outcome();
    let code = code(&ending.kind);
    match &ending.kind {
        EndKind::NotRun { reason, retry_after } => Problem::not_run(*reason, *retry_after),
        EndKind::UpstreamError { http_status, .. } => {
            let detail = format!("the upstream answered with status {http_status}");
            Problem::no_response(outcome, code, detail)
        }
        EndKind::Truncated { detail } => Problem::no_response(outcome, code, detail.clone()),
        EndKind::DeadlinePassed { .. } => {
            Problem::no_response(outcome, code, "the deadline passed before its end")
        }
        EndKind::Whole | EndKind::Unknown => {
            let detail = "it may have run: what became of it cannot be found out";
            Problem::no_response(Outcome::Unknown, code, detail)
        }
    }
}

/// Signs a token with which the caller's next request continues the session on the same version. Plain
/// services have no versions, so they have no sessions.
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

pub(super) fn content_type(upstream_type: String) -> String {
    if upstream_type.is_empty() { DEFAULT_CONTENT_TYPE.to_owned() } else { upstream_type }
}

pub(super) fn event(chunk: &[u8]) -> Event {
    Event::data(String::from_utf8_lossy(chunk).into_owned())
}

/// The last event of a stream: the end marker after a complete response, else an error that client
/// libraries raise.
fn last_event(ending: &RequestEnd) -> Event {
    match ending.kind {
        EndKind::Whole => Event::data(END_MARKER),
        _ => event(&problem(ending).body()),
    }
}

fn empty_stream(metadata: ResponseMetadata) -> Reply {
    let only = futures_util::stream::once(async { Event::data(END_MARKER) });
    Reply::Events { events: Box::pin(only), metadata }
}

/// The response if the limit on requests in progress is reached.
pub(crate) fn too_many_requests() -> Reply {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    Problem::not_run(stallhoist_core::NotRunReason::Overloaded, RETRY_AFTER).into()
}
