//! How long an attempt waits, and what second attempts may take.

use std::time::Duration;

use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;
use stallhoist_policy::retry::GiveUpDecision;
use stallhoist_policy::retry::SecondAttempt;
use stallhoist_policy::retry::WaitingAttempt;

use super::Execution;
use crate::metrics::EngineTimeUse;
use crate::request::attempt::AttemptOutcome;
use crate::upstreams::Chosen;

/// A repeatable request waits this many times its target latency for the first chunk before another
/// upstream is tried, and at least `MIN_WAIT_LIMIT`.
const WAIT_LIMIT_TARGETS: u32 = 2;
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(1_000);

/// It waits for no more than this share of the remaining time, so that another upstream has time to respond.
/// Without this limit, an upstream that hangs takes all the time of callers that wait for two target
/// latencies.
const MAX_SHARE_OF_REMAINING: f64 = 0.6;

/// Interval at which an attempt that is to be given up asks for a retry again: budgets grow with other requests.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Execution {
    /// Waits until the attempt is to be given up for another upstream and a retry is granted for it. Without a retry the
    /// upstream may still respond.
    pub(super) async fn until_given_up(&self, chosen: &Chosen) {
        let sent = self.state.now();
        let remaining = self.call.deadline.since(sent);
        if self.progress.is_next_last() {
            return std::future::pending().await;
        }
        let max_silence = remaining.mul_f64(MAX_SHARE_OF_REMAINING);
        let targets = self.call.route.target_latency * WAIT_LIMIT_TARGETS;
        let min_wait = targets.max(MIN_WAIT_LIMIT).min(max_silence);
        tokio::time::sleep(min_wait).await;
        loop {
            let pause = match self.decide_to_give_up(chosen, sent, min_wait, max_silence) {
                GiveUpDecision::GiveUp if self.take_repeat_of(chosen) => return,
                GiveUpDecision::GiveUp => RETRY_POLL_INTERVAL,
                GiveUpDecision::WaitFor(pause) => pause,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn decide_to_give_up(
        &self,
        chosen: &Chosen,
        sent: MonoTime,
        min_wait: Duration,
        max_silence: Duration,
    ) -> GiveUpDecision {
        if !self.compares_waits() {
            return GiveUpDecision::GiveUp;
        }
        let attempt = self.waiting_attempt(chosen, sent);
        WaitingAttempt { min_wait, max_silence, ..attempt }.decide()
    }

    /// Expected waits are known only of requests that state their prompt.
    fn compares_waits(&self) -> bool {
        self.state.settings.decisions.compares_waits && self.call.head.prompt.is_some()
    }

    fn waiting_attempt(&self, chosen: &Chosen, sent: MonoTime) -> WaitingAttempt {
        let now = self.state.now();
        let service = &self.call.service_name;
        let times = &self.state.attempt_times;
        let corrected = |expected| times.corrected(now, service, expected);
        let here = self.state.upstreams.expected_wait(now, chosen).max(chosen.expected_wait());
        let mut tried = self.tried.clone();
        tried.push(chosen.start.clone());
        let elsewhere = self.choose_for(self.models.chosen(), &tried);
        WaitingAttempt {
            waited: now.since(sent),
            remaining: self.call.deadline.since(now),
            expected: corrected(here),
            expected_elsewhere: elsewhere.map(|other| corrected(other.expectation().first_chunk)),
            is_upstream_alive: times.is_alive_since(sent, &chosen.start),
            ..WaitingAttempt::default()
        }
    }

    /// Records the engine time of an attempt that may have run.
    pub(super) fn record_engine_time(&mut self, chosen: &Chosen, outcome: &AttemptOutcome) {
        if !outcome.may_have_run() {
            return;
        }
        self.last_expectation = chosen.expectation();
        let (service, time) = (&self.call.service_name, self.last_expectation.engine_time);
        self.state.attempt_times.record_attempt(self.state.now(), service, self.second, time);
    }

    /// What the engine time of the next attempt is used for if its response is forwarded.
    pub(super) fn purpose(&self) -> EngineTimeUse {
        match self.second {
            None => EngineTimeUse::Answered,
            Some(SecondAttempt::StepUp) => EngineTimeUse::SecondLeg,
            Some(SecondAttempt::Repeat) => EngineTimeUse::Repeated,
        }
    }

    /// Whether there is engine time for a second attempt that takes `time`, with a first chunk expected after
    /// `expected`.
    pub(super) fn has_engine_time(
        &self,
        kind: SecondAttempt,
        expected: Duration,
        time: EngineTime,
    ) -> bool {
        if !self.state.settings.decisions.bounds_second_attempts || self.call.head.prompt.is_none()
        {
            return true;
        }
        let now = self.state.now();
        let service = &self.call.service_name;
        let times = &self.state.attempt_times;
        let price = times.price(now, service, expected, self.call.route.target_latency);
        times.allows(now, service, price, kind, time)
    }
}
