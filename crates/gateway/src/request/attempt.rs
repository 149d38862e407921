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
use stallhoist_policy::fatal::ResponsePhase;
use stallhoist_policy::fatal::ResponseProgress;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;

use super::BrokenResponse;
use super::Call;
use super::CompleteResponse;
use super::engine_time_meter::EngineTimeMeter;
use crate::dialect::AttemptHead;
use crate::dialect::ReplyHead;
use crate::event_frames::EventBuffer;
use crate::event_frames::EventFrames;
use crate::metrics::AttemptResult;
use crate::metrics::EngineTimeUse;
use crate::state::GatewayState;
use crate::upstream::ConnectSettings;
use crate::upstream::Connection;
use crate::upstream::OpenResponse;
use crate::upstream::Outgoing;
use crate::upstream::SendError;
use crate::upstream::connect;
use crate::upstream::send;
use crate::upstreams::Chosen;
use crate::upstreams::WorkGuard;

/// Maximum size of a response that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// A stream whose first events have been received.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) reply: OpenResponse,
    pub(crate) reply_head: ReplyHead,
    pub(crate) first_events: Option<EventFrames>,
    pub(crate) events: EventBuffer,
    pub(crate) progress: ResponseProgress,
    pub(crate) incarnation: UpstreamIncarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    /// Counts its engine time.
    pub(crate) meter: Option<EngineTimeMeter>,
    /// Counts the work on the upstream until the stream is closed.
    pub(crate) work: Option<WorkGuard>,
}

impl OpenStream {
    /// Whether it was not closed by this gateway.
    pub(crate) fn is_open(&self) -> bool {
        self.work.is_some()
    }

    /// Closes the connection, by which the upstream learns that its work is no longer wanted.
    pub(crate) fn close(&mut self) {
        self.reply.close();
        self.work = None;
        if let Some(meter) = self.meter.take() {
            meter.ended(EngineTimeUse::GivenUp);
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// No connection could be established; nothing was sent.
    NotSent(String),
    /// The upstream states that it did not run the request.
    NotRun(StatusCode),
    /// The upstream's complete response.
    Whole(CompleteResponse),
    /// A stream has begun.
    Stream(Box<OpenStream>),
    /// It may have run, but its response is lost.
    Broken(BrokenResponse, ResponsePhase),
    /// It may have run, but nothing was received before the deadline.
    TimedOut,
    /// It may have run, and a retry is granted in its place.
    GivenUp,
    /// It may have run, but this process ends before a response.
    Stopped,
}

impl AttemptOutcome {
    /// Whether the request may have run on the upstream.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::NotRun(_))
    }
}

/// One attempt of a request on one upstream.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a Arc<GatewayState>,
    pub(crate) call: &'a Call,
    pub(crate) chosen: &'a Chosen,
    pub(crate) model: Option<&'a ModelName>,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// What its engine time is used for if its response is forwarded.
    pub(crate) purpose: EngineTimeUse,
    /// Whether an earlier attempt of the request failed.
    pub(crate) is_repeat: bool,
}

impl Attempt<'_> {
    /// Makes the attempt until `given_up` ends, for which a retry is granted by then, and records its result for the
    /// upstream's health and its version's rollout.
    pub(crate) async fn run(
        self,
        work: WorkGuard,
        given_up: impl Future<Output = ()>,
    ) -> AttemptOutcome {
        let started = self.state.now();
        let timings = &self.state.settings.upstream;
        let settings = ConnectSettings {
            connect_timeout: Duration::from_millis(timings.connect_timeout_ms),
            awaits_reset: self.chosen.is_crowded,
            silence_timeout: Duration::from_millis(timings.silence_timeout_ms),
        };
        let connection = match connect(self.chosen.addr, &settings).await {
            Ok(connection) => connection,
            Err(error) => {
                let now = self.state.now();
                let evidence =
                    if error.is_surplus() { Evidence::Refused } else { Evidence::Unreachable };
                self.state.upstreams.observe(now, &self.chosen.start, evidence);
                if error.is_refused_by_host() {
                    self.state.confirm_termination(&self.chosen.start);
                }
                self.state.metrics.record_attempt(AttemptResult::NotSent);
                return AttemptOutcome::NotSent(error.to_string());
            }
        };
        self.state.metrics.connections_opened.inc();
        let outgoing = self.outgoing();
        let mut meter = Some(self.meter());
        let mut is_overdue = false;
        let outcome = {
            let response = self.send_and_receive(connection, outgoing, work, &mut meter);
            let response = tokio::time::timeout(self.call.deadline.since(started), response);
            let mut response = std::pin::pin!(response);
            let mut given_up = std::pin::pin!(given_up);
            loop {
                tokio::select! {
                    outcome = response.as_mut() => {
                        break outcome.unwrap_or(AttemptOutcome::TimedOut);
                    }
                    () = given_up.as_mut() => break AttemptOutcome::GivenUp,
                    () = self.state.resumed_past(self.call.deadline) => break AttemptOutcome::TimedOut,
                    // The end of the process would close the caller's connection without a response.
                    () = self.state.until_responses_due() => break AttemptOutcome::Stopped,
                    () = self.until_overdue(started), if !is_overdue => {
                        is_overdue = true;
                        self.observe(Observation::Overdue);
                    }
                }
            }
        };
        if let Some(meter) = meter {
            meter.attempt_ended(&outcome);
        }
        self.record_result(started, &outcome, is_overdue);
        outcome
    }

    fn meter(&self) -> EngineTimeMeter {
        let service = &self.call.service_name;
        EngineTimeMeter::start(self.state, service, self.chosen.expectation(), self.purpose)
    }

    /// Waits until the response counts as slow for a rollout, if one compares it. The load may grow meanwhile.
    async fn until_overdue(&self, started: MonoTime) {
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

    /// Expected time to the first chunk, in milliseconds: by the upstream's work when it was selected, or by its
    /// present work if that is more, as later requests delay this one as well.
    fn load(&self) -> u32 {
        let now = self.state.upstreams.expected_wait(self.state.now(), self.chosen);
        let expected = self.chosen.expected_wait().max(now);
        u32::try_from(expected.as_millis()).unwrap_or(u32::MAX)
    }

    /// Group of requests whose latency is comparable.
    fn kind(&self) -> RequestKind {
        RequestKind {
            route: Some(self.call.route.name.clone()),
            model: self.model.cloned(),
            part: LatencyKind::First,
        }
    }

    /// Records an observation for the rollout of the upstream's version. Repeats don't count: a request that
    /// fails by itself fails again, on any version, and the tests take responses to be independent.
    pub(super) fn observe(&self, observation: Observation) {
        if self.is_repeat {
            return;
        }
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

    async fn send_and_receive(
        &self,
        connection: Connection,
        outgoing: Outgoing,
        mut work: WorkGuard,
        meter: &mut Option<EngineTimeMeter>,
    ) -> AttemptOutcome {
        let sent = self.state.now();
        let reply = match send(connection, outgoing).await {
            Ok(reply) => reply,
            Err(error @ SendError::NotSent) => return AttemptOutcome::NotSent(error.to_string()),
            Err(SendError::Broken(error)) => {
                let cause = BrokenResponse::connection(&error);
                return AttemptOutcome::Broken(cause, ResponsePhase::Awaited);
            }
        };
        let mut progress = ResponseProgress::default();
        progress.record_head(self.state.now());
        // The HTTP library passes over other interim responses, and takes this one for final.
        if reply.head.status.is_informational() {
            let cause = BrokenResponse::NotFinal(reply.head.status);
            return AttemptOutcome::Broken(cause, progress.phase());
        }
        let head = self.state.dialect.read_reply(&reply.head);
        if self.is_from_selected(&reply.head, &head) {
            let (upstreams, incarnation) = (&self.state.upstreams, &self.chosen.start);
            let has_limit_changed = upstreams.record_report(
                self.state.now(),
                &self.call.service_name,
                incarnation,
                sent,
                &head.upstream_report,
            );
            let load = head.upstream_report.load.unwrap_or_default();
            self.state.metrics.load_figures_rejected.inc_by(load.rejected_figures.into());
            self.log_report(&head.upstream_report, has_limit_changed);
        }
        if head.is_not_run {
            self.state.upstreams.record_rejection(self.state.now(), &self.chosen.start);
            return AttemptOutcome::NotRun(reply.head.status);
        }
        if head.id.as_deref() != Some(self.call.head.id.as_str()) {
            return AttemptOutcome::Broken(BrokenResponse::WrongRequest, progress.phase());
        }
        let is_success = reply.head.status.is_success();
        if is_success && !head.is_sealed {
            return AttemptOutcome::Broken(BrokenResponse::Unsealed, progress.phase());
        }
        work.prefill_finished();
        if is_success && self.call.route.is_stream {
            return self.open_stream(reply, head, progress, work, meter).await;
        }
        let reservation = self.state.memory.open_response(self.call.workspace.clone());
        match reply.read_to_end(MAX_BUFFERED_BYTES, reservation).await {
            Ok((head, body)) => AttemptOutcome::Whole(CompleteResponse {
                status: head.status,
                headers: self.state.dialect.caller_headers(&head.headers),
                body,
            }),
            Err(error) => AttemptOutcome::Broken(error.into(), progress.phase()),
        }
    }

    /// Whether a response's upstream report comes from the selected upstream, not from another process at its
    /// address.
    fn is_from_selected(&self, head: &response::Parts, reply: &ReplyHead) -> bool {
        let is_for_another_request = reply.id.as_ref().is_some_and(|id| *id != self.call.head.id);
        head.status != StatusCode::MISDIRECTED_REQUEST && !is_for_another_request
    }

    /// Waits for the first complete event, so that a failure before it can be retried.
    async fn open_stream(
        &self,
        mut reply: OpenResponse,
        reply_head: ReplyHead,
        mut progress: ResponseProgress,
        work: WorkGuard,
        meter: &mut Option<EngineTimeMeter>,
    ) -> AttemptOutcome {
        let mut events = EventBuffer::default();
        let first_events = match reply.next_events(&mut events).await {
            Ok(first_events) => first_events,
            Err(error) => return AttemptOutcome::Broken(error.into(), progress.phase()),
        };
        progress.record_part(self.state.now());
        self.record_prefill();
        AttemptOutcome::Stream(Box::new(OpenStream {
            reply,
            reply_head,
            first_events,
            events,
            progress,
            incarnation: self.chosen.start.clone(),
            addr: self.chosen.addr,
            version: self.chosen.version.clone(),
            meter: meter.take(),
            work: Some(work),
        }))
    }

    /// Records that the upstream has the prompt in its prefix cache.
    fn record_prefill(&self) {
        if let (Some(model), Some(prompt)) = (self.model, &self.call.head.prompt) {
            let now = self.state.now();
            self.state.upstreams.prefill_finished(now, &self.chosen.start, model, prompt);
        }
    }
}
