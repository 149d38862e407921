//! The attempts of one request, until it has its final answer.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::ModelName;
use stallhoist_core::VersionName;
use stallhoist_policy::retry::AttemptFacts;
use stallhoist_policy::retry::may_retry;

use super::Call;
use super::GiveUp;
use super::Outcome;
use super::Relay;
use super::WholeReply;
use super::attempt::Attempt;
use super::attempt::AttemptEnd;
use super::attempt::OpenStream;
use super::model_choice::ModelChoice;
use crate::metrics::AttemptResult;
use crate::rollouts::VersionRule;
use crate::state::GatewayState;
use crate::upstreams::Chosen;
use crate::upstreams::Placement;

/// The most connections that may fail to come up for one request before it is given up;
/// none of them counts as an attempt, as nothing is sent.
const MAX_UNSENT: u32 = 8;

/// How long a request waits for an upstream to be listed when there is none: entries
/// that lapsed while the store was away come back in about two seconds.
const WAIT_FOR_UPSTREAM: Duration = Duration::from_millis(900);

/// When a caller that was refused is told to come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A repeatable request waits this many times its target latency for the first part of
/// the answer before another upstream is tried, and at least the time below.
const PATIENCE_TARGETS: u32 = 2;
const MIN_PATIENCE: Duration = Duration::from_millis(1_000);

/// The part of the connections an upstream accepts from all that this entry may use.
const CONNECTION_SHARE: u32 = 2;

/// What a request has come to so far.
#[derive(Debug)]
pub(crate) struct Execution {
    state: Arc<GatewayState>,
    call: Call,
    models: ModelChoice,
    tried: Vec<InstanceId>,
    attempts: u32,
    unsent: u32,
    /// Whether an attempt may have run without a whole answer.
    may_have_run: bool,
    /// The last failure that an upstream itself answered with.
    failure: Option<WholeReply>,
    /// The last event that the caller has.
    last_event: Option<u64>,
    /// Whether a part of the answer has gone out.
    is_delivered: bool,
}

impl Execution {
    pub(crate) fn new(state: Arc<GatewayState>, call: Call) -> Self {
        state.retries.lock().request(&call.service_name);
        let models = ModelChoice::new(&call.route, &call.head.model);
        let last_event = call.head.last_event;
        Self {
            state,
            models,
            tried: Vec::new(),
            attempts: 0,
            unsent: 0,
            may_have_run: false,
            failure: None,
            last_event,
            is_delivered: false,
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
        self.attempts
    }

    pub(crate) fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Makes attempts until one gives the final answer or no more may be made.
    pub(crate) async fn run(mut self) -> (Outcome, Option<Self>) {
        match self.next_answer().await {
            Ok(Answer::Whole(reply)) => (Outcome::Whole(reply), Some(self)),
            Ok(Answer::Stream(stream)) => {
                self.is_delivered = true;
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
        self.may_have_run = true;
        self.last_event = last_event.or(self.last_event);
        if !self.call.route.is_resumable || !self.may_try_again(false, true) {
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
            let chosen = self.choose().await?;
            let end = self.attempt(&chosen).await;
            self.log_attempt(&chosen, &end);
            match end {
                AttemptEnd::NotSent(_) => {
                    self.unsent += 1;
                    if self.unsent >= MAX_UNSENT {
                        return Err(self.give_up());
                    }
                    self.tried.push(chosen.instance);
                }
                AttemptEnd::NotRun(_) => {
                    self.attempts += 1;
                    self.tried.push(chosen.instance);
                    self.require_another(true)?;
                }
                AttemptEnd::Whole(reply) if reply.status.is_server_error() => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    self.tried.push(chosen.instance);
                    self.failure = Some(reply);
                    self.require_another(false)?;
                }
                AttemptEnd::Whole(reply) => {
                    self.attempts += 1;
                    return Ok(Answer::Whole(reply));
                }
                AttemptEnd::Stream(stream) => {
                    self.attempts += 1;
                    if self.steps_up(&stream) {
                        self.state.metrics.attempt_ended(AttemptResult::SteppedUp);
                        self.models.choose_best();
                        continue;
                    }
                    self.remember_session(&stream.version);
                    return Ok(Answer::Stream(stream));
                }
                end @ (AttemptEnd::Broken(_) | AttemptEnd::TimedOut) => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    self.tried.push(chosen.instance);
                    self.require_another(false)?;
                    if matches!(end, AttemptEnd::TimedOut) && !self.is_delivered {
                        self.models.choose_smallest();
                    }
                }
            }
        }
    }

    /// Goes on only if another attempt may be made.
    fn require_another(&mut self, is_proved_not_run: bool) -> Result<(), GiveUp> {
        if self.may_try_again(is_proved_not_run, self.is_delivered) {
            // Only one attempt is left: a small model's answer could not be bettered.
            if self.attempts + 1 >= self.call.route.max_attempts && !self.is_delivered {
                self.models.choose_best();
            }
            return Ok(());
        }
        Err(self.give_up())
    }

    fn may_try_again(&self, is_proved_not_run: bool, is_delivered: bool) -> bool {
        let facts = AttemptFacts {
            is_repeatable: self.call.route.is_repeatable(),
            is_proved_not_run: is_proved_not_run && !self.may_have_run,
            // A resumable stream goes on where it broke; anything else would start anew.
            is_delivered: is_delivered && !self.call.route.is_resumable,
            has_cost: true,
            attempts: self.attempts,
            max_attempts: self.call.route.max_attempts,
        };
        may_retry(facts, || self.state.retries.lock().take(&self.call.service_name))
    }

    /// Whether the answer is dropped and a better model asked.
    fn steps_up(&mut self, stream: &OpenStream) -> bool {
        let is_possible = !self.is_delivered
            && self.models.has_better()
            && self.attempts < self.call.route.max_attempts;
        let priority = self.call.route.priority;
        let pressure = self.state.pressure(&self.call.service_name);
        is_possible
            && self.state.step_up.is_step_up(priority, stream.reply_head.confidence, pressure)
            && self.state.retries.lock().take(&self.call.service_name)
    }

    fn give_up(&self) -> GiveUp {
        if !self.may_have_run {
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
        if !route.is_repeatable() || self.attempts + 1 >= route.max_attempts {
            return remaining;
        }
        remaining.min((route.target_latency * PATIENCE_TARGETS).max(MIN_PATIENCE))
    }

    /// The upstream for the next attempt; waits for one if there is none.
    async fn choose(&mut self) -> Result<Chosen, GiveUp> {
        let until = self.state.now().after(WAIT_FOR_UPSTREAM);
        loop {
            let now = self.state.now();
            if now >= self.call.deadline {
                return Err(self.give_up());
            }
            if let Some(chosen) = self.choose_now() {
                return Ok(chosen);
            }
            if !self.tried.is_empty() {
                // Better one that has failed before than none.
                self.tried.clear();
                continue;
            }
            if now >= until {
                return Err(self.give_up());
            }
            let changed = self.state.upstreams.changed();
            let pause = until.since(now).min(Duration::from_millis(50));
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    fn choose_now(&self) -> Option<Chosen> {
        let now = self.state.now();
        let rule = self.version_rule();
        let model = self.models.chosen();
        let service = self.call.service.as_ref();
        let placement = Placement {
            service: &self.call.service_name,
            rule: &rule,
            model,
            model_pace: service
                .zip(model)
                .map_or(1.0, |(service, model)| service.model_pace(model)),
            prompt: self.call.head.prompt.as_ref(),
            body_bytes: self.call.body.len(),
            tried: &self.tried,
            max_connections: service.map_or(u32::MAX, |s| s.max_connections / CONNECTION_SHARE),
        };
        self.state.upstreams.choose(now, &placement)
    }

    fn version_rule(&self) -> VersionRule {
        let now = self.state.now();
        let service = &self.call.service_name;
        let session = self.call.head.session.as_deref();
        let session_version =
            session.and_then(|session| self.state.sessions.lock().version(now, service, session));
        let unit = Call::unit(&self.call.head);
        self.state.rollouts.lock().rule(now, service, unit, session_version.as_ref())
    }

    /// A version answers, or has answered, a request of the session.
    pub(crate) fn remember_session(&self, version: &VersionName) {
        if let Some(session) = &self.call.head.session {
            let now = self.state.now();
            let service = &self.call.service_name;
            self.state.sessions.lock().used(now, service, session, version);
        }
    }

    /// One line for each attempt that did not give the answer.
    fn log_attempt(&self, chosen: &Chosen, end: &AttemptEnd) {
        let reason = match end {
            AttemptEnd::Whole(reply) if !reply.status.is_server_error() => return,
            AttemptEnd::Stream(_) => return,
            AttemptEnd::Whole(reply) => format!("the upstream failed with {}", reply.status),
            AttemptEnd::NotSent(reason) => format!("not sent: {reason}"),
            AttemptEnd::NotRun(status) => format!("the upstream did not run it: {status}"),
            AttemptEnd::Broken(reason) => format!("may have run: {reason}"),
            AttemptEnd::TimedOut => "may have run: nothing came in time".to_owned(),
        };
        let now = self.state.now();
        if !self.state.decisions.admits(now) {
            return;
        }
        log::info!(
            request = self.call.head.id,
            route:% = self.call.route.name,
            attempt = self.attempts + 1,
            instance:% = chosen.instance,
            addr:% = chosen.addr,
            version:% = chosen.version,
            model = self.models.chosen().map_or("", |model| model.as_str()),
            expected_wait_ms = chosen.expected_wait_ms.round(),
            left_ms = self.call.deadline.since(now).as_millis() as u64,
            reason;
            "attempt without an answer"
        );
    }
}

/// What an attempt was answered with.
#[derive(Debug)]
enum Answer {
    Whole(WholeReply),
    Stream(Box<OpenStream>),
}
