//! The attempts of one request, until its final response.
//!
//! Read `Execution::run` first. `admission` decides when an attempt is sent, `choice` selects its upstream and
//! `step_up` its model, `waits` when it is given up, `retries` whether another one follows, `resume` continues streams,
//! `after_broken_response` handles a crash, `quarantine` holds back requests that crash upstreams, `attempt_log` writes
//! the log lines.
//!
//! Invariant: a request that may run once only is never sent again after an attempt that may have run.

mod admission;
mod after_broken_response;
mod attempt_log;
mod choice;
mod quarantine;
mod resume;
mod retries;
mod step_up;
mod waits;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::balance::Expectation;
use stallhoist_policy::retry::RequestProgress;
use stallhoist_policy::retry::RequestRules;
use stallhoist_policy::retry::SecondAttempt;

use crate::fatal::Trial;
use crate::metrics::AttemptResult;
use crate::metrics::EngineTimeUse;
use crate::request::AbandonReason;
use crate::request::Call;
use crate::request::CompleteResponse;
use crate::request::Outcome;
use crate::request::Relay;
use crate::request::attempt::Attempt;
use crate::request::attempt::AttemptOutcome;
use crate::request::attempt::OpenStream;
use crate::request::model_choice::ModelChoice;
use crate::retry_budgets::RetryUse;
use crate::state::GatewayState;
use crate::upstreams::Chosen;
use crate::upstreams::WorkGuard;

/// Number of failed connection attempts after which a request is abandoned. They do not count as attempts, as
/// nothing is sent.
const MAX_CONNECT_FAILURES: u32 = 8;

/// `Retry-After` of a request that has not run.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// State of a request across its attempts.
#[derive(Debug)]
pub(crate) struct Execution {
    state: Arc<GatewayState>,
    call: Call,
    models: ModelChoice,
    tried: Vec<UpstreamIncarnation>,
    progress: RequestProgress,
    /// The last failure response of an upstream.
    last_failure: Option<CompleteResponse>,
    /// Id of the last event that the caller has received.
    last_event: Option<u64>,
    /// Seed that selects the upstream of a request suspected of crashing upstreams, instead of the cost.
    isolation_seed: Option<u64>,
    /// The trials of its quarantined subjects, which allow a single attempt.
    trials: Vec<Trial>,
    /// Whether the request is counted for its workspace's usage.
    is_counted: bool,
    /// Why the next attempt is made, unless it is the first.
    second: Option<SecondAttempt>,
    /// What the last attempt was expected to take.
    last_expectation: Expectation,
}

impl Execution {
    pub(crate) fn new(state: Arc<GatewayState>, call: Call) -> Self {
        state.retries.lock().record_request(&call.service_name);
        let models = ModelChoice::new(&call.route, &call.head.model);
        let last_event = call.head.last_event;
        let progress = RequestProgress::new(RequestRules {
            is_repeatable: call.route.is_repeatable(),
            is_resumable: call.route.is_resumable,
            max_attempts: call.route.max_attempts,
            max_connect_failures: MAX_CONNECT_FAILURES,
        });
        Self {
            state,
            models,
            tried: Vec::new(),
            progress,
            last_failure: None,
            last_event,
            isolation_seed: None,
            trials: Vec::new(),
            is_counted: false,
            second: None,
            last_expectation: Expectation::default(),
            call,
        }
    }

    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// The selected model; none where the caller named one.
    pub(crate) fn model(&self) -> Option<&ModelName> {
        self.models.chosen()
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.progress.attempts()
    }

    pub(crate) fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Makes attempts until one gives the final response or no more are allowed.
    ///
    /// Returns itself as well, unless the outcome is a stream, whose relay needs it.
    pub(crate) async fn run(mut self) -> (Outcome, Option<Self>) {
        self.choose_model_of_last_attempt();
        let response = self.next_response(None).await;
        if response.is_ok() {
            let time = self.state.now().since(self.call.arrived);
            self.state.metrics.first_part_s.observe(time.as_secs_f64());
        }
        match response {
            Ok(AttemptResponse::Whole(reply)) => (Outcome::Whole(reply), Some(self)),
            Ok(AttemptResponse::Stream(stream)) => {
                self.progress.delivered();
                (Outcome::Stream(Box::new(Relay::new(self, *stream))), None)
            }
            Err(abandon_reason) => match self.last_failure.take() {
                Some(last_failure) => (Outcome::Whole(last_failure), Some(self)),
                None => (Outcome::NoResponse(abandon_reason), Some(self)),
            },
        }
    }

    /// Makes attempts until one gets a response. The stream that they are to replace is closed as soon as one of them may
    /// be at work on the request.
    async fn next_response(
        &mut self,
        mut replaced: Option<&mut OpenStream>,
    ) -> Result<AttemptResponse, AbandonReason> {
        loop {
            self.check_crashes().await?;
            let excluded = replaced.as_deref().map(|stream| &stream.incarnation);
            let (chosen, work) = self.choose(excluded).await?;
            let started = self.state.now();
            let outcome = self.attempt(&chosen, work, replaced.as_deref_mut()).await;
            if outcome.may_have_run()
                && let Some(replaced) = replaced.take()
            {
                replaced.close();
            }
            self.record_engine_time(&chosen, &outcome);
            let elapsed = self.state.now().since(started);
            self.count_run(started, &outcome);
            self.log_attempt(&chosen, elapsed, &outcome);
            let has_crashed = match &outcome {
                AttemptOutcome::Broken(cause, phase) => {
                    self.after_broken_response(&chosen.start, chosen.addr, cause, *phase).await
                }
                _ => false,
            };
            if has_crashed {
                self.progress.upstream_ended();
            }
            if let Some(response) = self.after_attempt(chosen.start, outcome)? {
                return Ok(response);
            }
        }
    }

    /// Evaluates an attempt: its response, or none where another attempt follows.
    fn after_attempt(
        &mut self,
        incarnation: UpstreamIncarnation,
        outcome: AttemptOutcome,
    ) -> Result<Option<AttemptResponse>, AbandonReason> {
        match outcome {
            AttemptOutcome::NotSent(_) => {
                self.after_connect_failure(incarnation)?;
                Ok(None)
            }
            AttemptOutcome::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                self.after_misdirected(incarnation)?;
                Ok(None)
            }
            AttemptOutcome::NotRun(_) => {
                self.progress.sent();
                self.progress.proved_not_run();
                self.tried.push(incarnation);
                self.require_another()?;
                Ok(None)
            }
            AttemptOutcome::Whole(reply) if reply.status.is_server_error() => {
                self.record_response();
                self.last_failure = Some(reply);
                self.after_failure(incarnation)?;
                Ok(None)
            }
            AttemptOutcome::Whole(reply) => {
                self.record_response();
                self.record_survival();
                self.progress.sent();
                Ok(Some(AttemptResponse::Whole(reply)))
            }
            AttemptOutcome::Stream(stream) => Ok(self.after_stream_begin(stream)),
            AttemptOutcome::Broken(..) | AttemptOutcome::TimedOut | AttemptOutcome::Stopped => {
                self.after_failure(incarnation)?;
                Ok(None)
            }
            AttemptOutcome::GivenUp => {
                self.after_given_up(incarnation);
                Ok(None)
            }
        }
    }

    /// An attempt was given up for another one.
    fn after_given_up(&mut self, incarnation: UpstreamIncarnation) {
        self.progress.sent();
        self.tried.push(incarnation);
        self.second = Some(SecondAttempt::Repeat);
        if !self.progress.is_delivered() {
            self.models.choose_smallest();
        }
    }

    /// No connection could be established. This does not count as an attempt.
    fn after_connect_failure(
        &mut self,
        incarnation: UpstreamIncarnation,
    ) -> Result<(), AbandonReason> {
        if !self.progress.connect_failed() {
            return Err(self.abandon_reason());
        }
        self.tried.push(incarnation);
        Ok(())
    }

    /// Another process at the upstream's address rejected the request. This does not count as an attempt, but it
    /// takes from the retry budget, as the platform counts the arrival.
    fn after_misdirected(&mut self, incarnation: UpstreamIncarnation) -> Result<(), AbandonReason> {
        if !self.take_retry(RetryUse::Misdirected) {
            return Err(self.abandon_reason());
        }
        self.after_connect_failure(incarnation)
    }

    /// An attempt failed and may have run.
    fn after_failure(&mut self, incarnation: UpstreamIncarnation) -> Result<(), AbandonReason> {
        self.progress.sent();
        self.tried.push(incarnation);
        self.require_another()
    }

    /// A stream has begun: it is the response, unless a better model is tried instead.
    fn after_stream_begin(&mut self, mut stream: Box<OpenStream>) -> Option<AttemptResponse> {
        self.progress.sent();
        if self.should_step_up(&stream) {
            self.state.metrics.record_attempt(AttemptResult::SteppedUp);
            self.models.choose_best();
            self.second = Some(SecondAttempt::StepUp);
            if let Some(meter) = stream.meter.take() {
                meter.ended(EngineTimeUse::Replaced);
            }
            return None;
        }
        self.remember_session(&stream.version);
        Some(AttemptResponse::Stream(stream))
    }

    /// Fails unless another attempt is allowed.
    fn require_another(&mut self) -> Result<(), AbandonReason> {
        if self.may_retry() {
            self.choose_model_of_last_attempt();
            return Ok(());
        }
        Err(self.abandon_reason())
    }

    /// With a single attempt left, a poor response of the small model could not be replaced.
    fn choose_model_of_last_attempt(&mut self) {
        let is_last = self.progress.is_next_last() && !self.progress.is_delivered();
        if is_last && self.models.has_better() && self.is_better_in_time() {
            self.models.choose_best();
        }
    }

    fn abandon_reason(&self) -> AbandonReason {
        if !self.progress.may_have_run() {
            return AbandonReason::NotRun { retry_after: RETRY_AFTER };
        }
        if self.state.now() >= self.call.deadline {
            AbandonReason::TimedOut
        } else {
            AbandonReason::Lost
        }
    }

    /// Whether an earlier attempt failed.
    fn is_repeat(&self) -> bool {
        self.second == Some(SecondAttempt::Repeat)
    }

    async fn attempt(
        &self,
        chosen: &Chosen,
        work: WorkGuard,
        replaced: Option<&mut OpenStream>,
    ) -> AttemptOutcome {
        let attempt = Attempt {
            state: &self.state,
            call: &self.call,
            chosen,
            model: self.models.chosen(),
            last_event: self.last_event,
            purpose: self.purpose(),
            is_repeat: self.is_repeat(),
        };
        let given_up = async {
            tokio::select! {
                () = self.until_given_up(chosen) => {}
                () = resume::close_after_handover(replaced) => {}
            }
        };
        attempt.run(work, given_up).await
    }

    /// Counts the request for its workspace's usage when the first of its attempts has begun to run: a stream with
    /// its first event, any other request as soon as it is sent.
    fn count_run(&mut self, started: MonoTime, outcome: &AttemptOutcome) {
        let began = match outcome {
            AttemptOutcome::NotSent(_) | AttemptOutcome::NotRun(_) => return,
            AttemptOutcome::Stream(_) => self.state.now(),
            AttemptOutcome::Whole(_) if self.call.route.is_stream => self.state.now(),
            AttemptOutcome::Broken(..)
            | AttemptOutcome::TimedOut
            | AttemptOutcome::GivenUp
            | AttemptOutcome::Stopped
                if self.call.route.is_stream =>
            {
                return;
            }
            AttemptOutcome::Whole(_)
            | AttemptOutcome::Broken(..)
            | AttemptOutcome::TimedOut
            | AttemptOutcome::GivenUp
            | AttemptOutcome::Stopped => started,
        };
        if !std::mem::replace(&mut self.is_counted, true) {
            self.state.record_run(began, self.call.workspace.as_ref());
        }
    }

    /// Keeps the request's session on the version that serves it.
    pub(crate) fn remember_session(&self, version: &VersionName) {
        if let Some(session) = Call::session(&self.call.head) {
            let now = self.state.now();
            let service = &self.call.service_name;
            self.state.sessions.lock().record_use(now, service, session, version);
        }
    }
}

/// Response of an attempt.
#[derive(Debug)]
enum AttemptResponse {
    Whole(CompleteResponse),
    Stream(Box<OpenStream>),
}
