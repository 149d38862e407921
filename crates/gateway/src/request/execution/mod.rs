//! The attempts of one request, until it has its final answer.

mod attempt_log;
mod break_off;
mod choice;
mod held_back;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use stallhoist_core::ModelName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::cascade::BetterAnswer;
use stallhoist_policy::retry::RequestProgress;
use stallhoist_policy::retry::RequestRules;

use crate::fatal::Try;
use crate::metrics::AttemptResult;
use crate::request::Call;
use crate::request::GiveUp;
use crate::request::Outcome;
use crate::request::Relay;
use crate::request::WholeReply;
use crate::request::attempt::Attempt;
use crate::request::attempt::AttemptEnd;
use crate::request::attempt::OpenStream;
use crate::request::model_choice::ModelChoice;
use crate::state::GatewayState;
use crate::upstreams::Chosen;

/// The most connections that may fail to come up for one request before it is given up;
/// none of them counts as an attempt, as nothing is sent.
const MAX_CONNECT_FAILURES: u32 = 8;

/// When a caller that was refused is told to come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A repeatable request waits this many times its target latency for the first part of
/// the answer before another upstream is tried, and at least the time below.
const PATIENCE_TARGETS: u32 = 2;
const MIN_PATIENCE: Duration = Duration::from_millis(1_000);

/// It waits for no more than this part of the time that the caller still waits, so that another
/// upstream has time to answer: where callers wait for two target latencies, one that hung took all
/// of it.
const PATIENCE_OF_REMAINING: f64 = 0.6;

/// What a request has come to so far.
#[derive(Debug)]
pub(crate) struct Execution {
    state: Arc<GatewayState>,
    call: Call,
    models: ModelChoice,
    tried: Vec<UpstreamIncarnation>,
    progress: RequestProgress,
    /// The last failure that an upstream itself answered with.
    failure: Option<WholeReply>,
    /// The last event that the caller has.
    last_event: Option<u64>,
    /// While it may be what ends upstreams: by which one it is sent to.
    apart_seed: Option<u64>,
    /// It was held back, and is tried again: once.
    trying: Option<Try>,
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
            failure: None,
            last_event,
            apart_seed: None,
            trying: None,
            call,
        }
    }

    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// The model that the system chose; none when the caller did.
    pub(crate) fn model(&self) -> Option<&ModelName> {
        self.models.chosen()
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.progress.attempts()
    }

    pub(crate) fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Makes attempts until one gives the final answer or no more may be made.
    pub(crate) async fn run(mut self) -> (Outcome, Option<Self>) {
        let answer = self.next_answer().await;
        if answer.is_ok() {
            let time = self.state.now().since(self.call.arrived);
            self.state.metrics.first_part_s.observe(time.as_secs_f64());
        }
        match answer {
            Ok(Answer::Whole(reply)) => (Outcome::Whole(reply), Some(self)),
            Ok(Answer::Stream(stream)) => {
                self.progress.delivered();
                (Outcome::Stream(Box::new(Relay::new(self, *stream))), None)
            }
            Err(give_up) => match self.failure.take() {
                Some(failure) => (Outcome::Whole(failure), Some(self)),
                None => (Outcome::GivenUp(give_up), Some(self)),
            },
        }
    }

    /// After a stream broke: continues it on another upstream, after the last event that
    /// the caller has.
    pub(crate) async fn resume(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Box<OpenStream>, GiveUp> {
        self.last_event = last_event.or(self.last_event);
        if !self.may_retry() {
            return Err(GiveUp::Lost);
        }
        match self.next_answer().await? {
            Answer::Stream(stream) => Ok(stream),
            Answer::Whole(_) => Err(GiveUp::Lost),
        }
    }

    /// Makes attempts until one is answered.
    async fn next_answer(&mut self) -> Result<Answer, GiveUp> {
        loop {
            self.heed_ends().await?;
            let chosen = self.choose().await?;
            let started = self.state.now();
            let end = self.attempt(&chosen).await;
            let took = self.state.now().since(started);
            self.log_attempt(&chosen, took, &end);
            let has_ended = match &end {
                AttemptEnd::Broken(cause) => {
                    self.after_break(&chosen.start, chosen.addr, cause).await
                }
                _ => false,
            };
            if has_ended {
                self.progress.upstream_ended();
            }
            if let Some(answer) = self.after_attempt(chosen.start, end)? {
                return Ok(answer);
            }
        }
    }

    /// The answer that an attempt gave; none when another one is to be made.
    fn after_attempt(
        &mut self,
        start: UpstreamIncarnation,
        end: AttemptEnd,
    ) -> Result<Option<Answer>, GiveUp> {
        match end {
            AttemptEnd::NotSent(_) => {
                self.after_connect_failure(start)?;
                Ok(None)
            }
            AttemptEnd::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                self.after_misdirected(start)?;
                Ok(None)
            }
            AttemptEnd::NotRun(_) => {
                self.progress.sent();
                self.progress.proved_not_run();
                self.tried.push(start);
                self.require_another()?;
                Ok(None)
            }
            AttemptEnd::Whole(reply) if reply.status.is_server_error() => {
                self.was_answered();
                self.failure = Some(reply);
                self.after_failure(start)?;
                Ok(None)
            }
            AttemptEnd::Whole(reply) => {
                self.was_answered();
                self.progress.sent();
                Ok(Some(Answer::Whole(reply)))
            }
            AttemptEnd::Stream(stream) => Ok(self.after_stream_begin(stream)),
            AttemptEnd::Broken(_) => {
                self.after_failure(start)?;
                Ok(None)
            }
            AttemptEnd::TimedOut => {
                self.after_failure(start)?;
                if !self.progress.is_delivered() {
                    self.models.choose_smallest();
                }
                Ok(None)
            }
        }
    }

    /// No connection came up. This does not count as an attempt.
    fn after_connect_failure(&mut self, start: UpstreamIncarnation) -> Result<(), GiveUp> {
        if !self.progress.connect_failed() {
            return Err(self.give_up());
        }
        self.tried.push(start);
        Ok(())
    }

    /// The upstream that was meant was not there: another process turned the request away, which
    /// costs the caller no attempt. The platform counts its arrival all the same.
    fn after_misdirected(&mut self, start: UpstreamIncarnation) -> Result<(), GiveUp> {
        let has_budget = self.state.retries.lock().try_acquire(&self.call.service_name);
        if !has_budget {
            return Err(self.give_up());
        }
        self.after_connect_failure(start)
    }

    /// An attempt failed that may have run.
    fn after_failure(&mut self, start: UpstreamIncarnation) -> Result<(), GiveUp> {
        self.progress.sent();
        self.tried.push(start);
        self.require_another()
    }

    /// A stream has begun: it is the answer unless a better model is to be asked.
    fn after_stream_begin(&mut self, stream: Box<OpenStream>) -> Option<Answer> {
        self.progress.sent();
        if self.steps_up(&stream) {
            self.state.metrics.record_attempt(AttemptResult::SteppedUp);
            self.models.choose_best();
            return None;
        }
        self.remember_session(&stream.version);
        Some(Answer::Stream(stream))
    }

    /// Goes on only if another attempt may be made.
    fn require_another(&mut self) -> Result<(), GiveUp> {
        if self.may_retry() {
            // Only one attempt is left: a small model's answer could not be bettered.
            let is_last = self.progress.is_next_the_last() && !self.progress.is_delivered();
            if is_last && self.is_better_in_time() {
                self.models.choose_best();
            }
            return Ok(());
        }
        Err(self.give_up())
    }

    /// Whether another attempt may be made. Each takes from the budget: the platform counts
    /// a request that an upstream turned away as well.
    fn may_retry(&self) -> bool {
        let take_budget = || self.state.retries.lock().try_acquire(&self.call.service_name);
        self.trying.is_none() && self.progress.may_retry(true, take_budget)
    }

    /// Whether the answer is dropped and a better model asked.
    fn steps_up(&mut self, stream: &OpenStream) -> bool {
        let is_possible = !self.progress.is_delivered()
            && self.models.has_better()
            && self.progress.has_attempt_left();
        // By the route, not the workspace: what a better answer is worth depends on the kind
        // of request.
        let priority = self.call.route.priority;
        is_possible
            && self.state.step_up.is_poor(priority, stream.reply_head.confidence)
            && (!self.state.settings.decisions.needs_better_in_time || self.is_better_in_time())
            && self.state.retries.lock().try_acquire(&self.call.service_name)
    }

    /// Whether an answer of the best model is expected in time.
    fn is_better_in_time(&self) -> bool {
        let best = self.models.best();
        // Better one that has failed before than none, as in the choice itself.
        let chosen = self.choose_for(best, &self.tried).or_else(|| self.choose_for(best, &[]));
        let Some(chosen) = chosen else {
            return false;
        };
        let better = BetterAnswer {
            elapsed: self.state.now().since(self.call.arrived),
            expected_wait: chosen.expected_wait(),
            target: self.call.route.target_latency,
        };
        better.is_in_time()
    }

    fn give_up(&self) -> GiveUp {
        if !self.progress.may_have_run() {
            return GiveUp::NotRun { retry_after: RETRY_AFTER };
        }
        if self.state.now() >= self.call.deadline { GiveUp::TimedOut } else { GiveUp::Lost }
    }

    async fn attempt(&self, chosen: &Chosen) -> AttemptEnd {
        let attempt = Attempt {
            state: &self.state,
            call: &self.call,
            chosen,
            model: self.models.chosen(),
            last_event: self.last_event,
            patience: self.patience(),
        };
        attempt.run().await
    }

    /// How long the first part of an answer is waited for: until the deadline, unless the
    /// request can be tried elsewhere.
    fn patience(&self) -> Duration {
        let remaining = self.call.deadline.since(self.state.now());
        let route = &self.call.route;
        if !route.is_repeatable() || self.progress.is_next_the_last() {
            return remaining;
        }
        let patience = (route.target_latency * PATIENCE_TARGETS).max(MIN_PATIENCE);
        patience.min(remaining.mul_f64(PATIENCE_OF_REMAINING))
    }

    /// A version answers, or has answered, a request of the session.
    pub(crate) fn remember_session(&self, version: &VersionName) {
        if let Some(session) = Call::session(&self.call.head) {
            let now = self.state.now();
            let service = &self.call.service_name;
            self.state.sessions.lock().record_use(now, service, session, version);
        }
    }
}

/// What an attempt was answered with.
#[derive(Debug)]
enum Answer {
    Whole(WholeReply),
    Stream(Box<OpenStream>),
}
