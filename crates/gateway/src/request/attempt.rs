//! One attempt of a request on one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::response;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;

use super::Break;
use super::Call;
use super::WholeReply;
use crate::dialect::AttemptHead;
use crate::dialect::ReplyHead;
use crate::dialect::RequestedModel;
use crate::event_frames::EventBuffer;
use crate::event_frames::EventFrames;
use crate::metrics::AttemptResult;
use crate::state::GatewayState;
use crate::upstream::ConnectSettings;
use crate::upstream::Connection;
use crate::upstream::OpenReply;
use crate::upstream::Outgoing;
use crate::upstream::SendError;
use crate::upstream::connect;
use crate::upstream::send;
use crate::upstream_report::UpstreamReport;
use crate::upstreams::Chosen;
use crate::upstreams::WorkGuard;

/// The largest answer that is read whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 16 << 20;

/// A stream whose first events have come.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) reply: OpenReply,
    pub(crate) reply_head: ReplyHead,
    pub(crate) first: Option<EventFrames>,
    pub(crate) events: EventBuffer,
    pub(crate) start: UpstreamIncarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    /// Ends the work in the books when the stream is dropped.
    pub(crate) _work: WorkGuard,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// No connection came up; nothing was sent.
    NotSent(String),
    /// The upstream promises that it did not run.
    NotRun(StatusCode),
    /// The upstream's whole reply.
    Whole(WholeReply),
    /// A stream has begun.
    Stream(Box<OpenStream>),
    /// It may have run, but its answer is lost.
    Broken(Break),
    /// It may have run, but nothing came in time.
    TimedOut,
}

/// One attempt of a request on one upstream.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a Arc<GatewayState>,
    pub(crate) call: &'a Call,
    pub(crate) chosen: &'a Chosen,
    pub(crate) model: Option<&'a ModelName>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// How long the first part of the answer is waited for.
    pub(crate) patience: Duration,
}

impl Attempt<'_> {
    /// Makes the attempt, and takes down what it shows of the upstream.
    pub(crate) async fn run(self) -> AttemptEnd {
        let started = self.state.now();
        let work = self.state.upstreams.start(self.chosen);
        let timings = &self.state.settings.upstream;
        let settings = ConnectSettings {
            connect_timeout: Duration::from_millis(timings.connect_timeout_ms),
            silence_timeout: Duration::from_millis(timings.silence_timeout_ms),
        };
        let connection = match connect(self.chosen.addr, &settings).await {
            Ok(connection) => connection,
            Err(error) => {
                let now = self.state.now();
                self.state.upstreams.observe(now, &self.chosen.start, Evidence::Unreachable);
                if error.is_by_host() {
                    self.state.confirm_termination(&self.chosen.start);
                }
                self.state.metrics.record_attempt(AttemptResult::NotSent);
                return AttemptEnd::NotSent(error.to_string());
            }
        };
        let outgoing = self.outgoing();
        let answered = self.answer(connection, outgoing, work);
        let answered = tokio::time::timeout(self.patience, answered);
        let mut answered = std::pin::pin!(answered);
        let mut is_overdue = false;
        let end = loop {
            tokio::select! {
                end = answered.as_mut() => break end.unwrap_or(AttemptEnd::TimedOut),
                () = self.slept_over() => break AttemptEnd::TimedOut,
                () = self.overdue(started), if !is_overdue => {
                    is_overdue = true;
                    self.observe(Observation::Overdue);
                }
            }
        };
        self.take_down(started, &end, is_overdue);
        end
    }

    /// Waits until the host wakes up after the request's deadline: timers stand still meanwhile.
    async fn slept_over(&self) {
        loop {
            self.state.suspend_recovery.woken().await;
            if self.state.now() >= self.call.deadline {
                return;
            }
        }
    }

    /// Waits until an answer is slow, if a roll-out wants to know. The load may grow meanwhile.
    async fn overdue(&self, started: MonoTime) {
        let service = &self.call.service_name;
        let kind = self.kind();
        loop {
            let load = self.load();
            let slow_threshold = self.state.rollouts.lock().slow_threshold(service, &kind, load);
            let Some(slow_threshold) = slow_threshold else {
                return std::future::pending().await;
            };
            let left = slow_threshold.saturating_sub(self.state.now().since(started));
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// What the first part is expected to take, in milliseconds: by what the upstream had to
    /// do when it was chosen, or by what it has to do now if that is more. What comes after a
    /// request holds it up as well.
    fn load(&self) -> u32 {
        let now = self.state.upstreams.expected_wait(self.state.now(), self.chosen);
        let expected = self.chosen.expected_wait().max(now);
        u32::try_from(expected.as_millis()).unwrap_or(u32::MAX)
    }

    /// The requests that its time is compared with.
    fn kind(&self) -> RequestKind {
        RequestKind {
            route: Some(self.call.route.name.clone()),
            model: self.model.cloned(),
            part: LatencyKind::First,
        }
    }

    fn observe(&self, observation: Observation) {
        let version = &self.chosen.version;
        let kind = self.kind();
        let service = &self.call.service_name;
        let load = self.load();
        self.state.rollouts.lock().observe(service, version, &kind, load, observation);
    }

    fn outgoing(&self) -> Outgoing {
        let head = AttemptHead {
            instance: &self.chosen.start.instance,
            remaining: self.call.deadline.since(self.state.now()),
            workspace: self.call.workspace.as_ref(),
            model: self.model,
            last_event: self.last_event,
            priority: self.call.priority,
        };
        Outgoing {
            method: self.call.method.clone(),
            target: self.call.target.clone(),
            headers: self.state.dialect.attempt_headers(&self.call.headers, &head),
            body: self.call.body.clone(),
        }
    }

    async fn answer(
        &self,
        connection: Connection,
        outgoing: Outgoing,
        mut work: WorkGuard,
    ) -> AttemptEnd {
        let sent = self.state.now();
        let reply = match send(connection, outgoing).await {
            Ok(reply) => reply,
            Err(error @ SendError::NotSent) => return AttemptEnd::NotSent(error.to_string()),
            Err(SendError::Broken(error)) => return AttemptEnd::Broken(Break::connection(&error)),
        };
        let head = self.state.dialect.read_reply(&reply.head);
        if self.is_from_chosen(&reply.head, &head) {
            let (upstreams, start) = (&self.state.upstreams, &self.chosen.start);
            let is_other_limit =
                upstreams.record_report(self.state.now(), start, sent, &head.upstream_report);
            self.log_notice(&head.upstream_report, is_other_limit);
        }
        if head.is_not_run {
            return AttemptEnd::NotRun(reply.head.status);
        }
        if head.id.as_deref() != Some(self.call.head.id.as_str()) {
            return AttemptEnd::Broken(Break::ToAnother);
        }
        let is_success = reply.head.status.is_success();
        if is_success && !head.is_sealed {
            return AttemptEnd::Broken(Break::Unsealed);
        }
        work.prefill_finished();
        if is_success && self.call.route.is_stream {
            return self.begin_stream(reply, head, work).await;
        }
        match reply.read_whole(MAX_WHOLE_BYTES).await {
            Ok((head, body)) => AttemptEnd::Whole(WholeReply {
                status: head.status,
                headers: self.state.dialect.caller_headers(&head.headers),
                body,
            }),
            Err(error) => AttemptEnd::Broken(error.into()),
        }
    }

    /// What an upstream says of itself that bears on whether it may be used.
    fn log_notice(&self, upstream_report: &UpstreamReport, is_other_limit: bool) {
        let asks_for_less = upstream_report.is_leaving || upstream_report.rest.is_some();
        if !(asks_for_less || is_other_limit) || !self.state.decisions.admits(self.state.now()) {
            return;
        }
        let start = &self.chosen.start;
        if asks_for_less {
            log::info!(
                request = self.call.head.id,
                instance:% = start,
                is_leaving = upstream_report.is_leaving,
                rest:? = upstream_report.rest;
                "an upstream leaves, or asks for rest"
            );
        }
        if is_other_limit {
            let limit = upstream_report.limit;
            log::info!(instance:% = start, limit:? = limit; "an upstream's limit has changed");
        }
    }

    /// Whether what an answer says of its upstream is said by the one that was chosen: another process
    /// at its address speaks for itself.
    fn is_from_chosen(&self, head: &response::Parts, reply: &ReplyHead) -> bool {
        let is_to_another = reply.id.as_ref().is_some_and(|id| *id != self.call.head.id);
        head.status != StatusCode::MISDIRECTED_REQUEST && !is_to_another
    }

    /// Waits for the first whole event, so that a failure before it can be made up for.
    async fn begin_stream(
        &self,
        mut reply: OpenReply,
        reply_head: ReplyHead,
        work: WorkGuard,
    ) -> AttemptEnd {
        let mut events = EventBuffer::default();
        let first = match reply.next_events(&mut events).await {
            Ok(first) => first,
            Err(error) => return AttemptEnd::Broken(error.into()),
        };
        self.note_prompt();
        AttemptEnd::Stream(Box::new(OpenStream {
            reply,
            reply_head,
            first,
            events,
            start: self.chosen.start.clone(),
            addr: self.chosen.addr,
            version: self.chosen.version.clone(),
            _work: work,
        }))
    }

    /// The upstream has read the prompt with the model.
    fn note_prompt(&self) {
        if let (Some(model), Some(prompt)) = (self.model, &self.call.head.prompt) {
            let now = self.state.now();
            self.state.upstreams.prefill_finished(now, &self.chosen.start, model, prompt);
        }
    }

    /// Takes down what an attempt shows of the upstream and of its version.
    fn take_down(&self, started: MonoTime, end: &AttemptEnd, is_overdue: bool) {
        let now = self.state.now();
        let upstreams = &self.state.upstreams;
        let took = now.since(started);
        let answered = if is_overdue {
            Observation::AnsweredOverdue(took)
        } else {
            Observation::Answered(took)
        };
        let (result, evidence, observation) = match end {
            AttemptEnd::NotSent(_) => (AttemptResult::NotSent, Evidence::Refused, None),
            AttemptEnd::NotRun(status) => (AttemptResult::NotRun, self.refusal(*status), None),
            AttemptEnd::Whole(reply) if reply.status.is_server_error() => {
                (AttemptResult::Failure, Evidence::Failed, Some(Observation::Failed))
            }
            AttemptEnd::Whole(_) | AttemptEnd::Stream(_) => {
                (AttemptResult::Answered, Evidence::Answered, Some(answered))
            }
            AttemptEnd::Broken(_) => {
                (AttemptResult::Broken, Evidence::Failed, Some(Observation::Failed))
            }
            AttemptEnd::TimedOut => {
                (AttemptResult::TimedOut, Evidence::Failed, Some(Observation::Failed))
            }
        };
        self.state.metrics.record_attempt(result);
        if let (AttemptEnd::Stream(_), Some(model)) = (end, self.model) {
            let relative_prefill_time = self.call.relative_prefill_time(Some(model));
            let service = &self.call.service_name;
            upstreams.first_part(service, model, relative_prefill_time, self.chosen, took);
        }
        if upstreams.observe(now, &self.chosen.start, evidence) {
            self.state.confirm_termination(&self.chosen.start);
        }
        if let Some(observation) = observation {
            self.observe(observation);
        }
    }

    /// What it shows that an upstream did not run the request. That another process answered is
    /// not believed where the caller named the model: any that the upstream does not have is
    /// answered with the same status.
    fn refusal(&self, status: StatusCode) -> Evidence {
        let is_callers_model = matches!(self.call.head.model, RequestedModel::Named(_));
        if status == StatusCode::MISDIRECTED_REQUEST && !is_callers_model {
            return Evidence::Misdirected;
        }
        Evidence::Refused
    }
}
