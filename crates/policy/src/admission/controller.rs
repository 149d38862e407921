//! The admission controller.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;

use super::AdmissionConfig;
use super::AdmissionRequest;
use super::Estimator;
use super::queue::Queue;
use super::queue::Waiting;
use super::reservations::Reservations;
use super::running::Running;

/// The shortest time a refused caller is told to stay away.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The answer to an offer of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now.
    Start,
    /// It waits; [`Admission::next`] starts or refuses it.
    Queued,
    /// It is not run.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// After which time a place is kept for it.
        retry_after: Duration,
    },
}

/// What becomes of work that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueDecision<Id> {
    /// It starts now.
    Start(Id),
    /// It is not run: its time has passed.
    Refused {
        /// Whose work it is.
        id: Id,
        /// After which time a place is kept for it.
        retry_after: Duration,
    },
}

/// What a request is predicted to cost here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// The time to its first token.
    pub first_token: Duration,
    /// Why it would be refused, and after which time it would fit.
    pub refusal: Option<(NotRunReason, Duration)>,
}

/// The admission controller of one upstream.
#[derive(Debug)]
pub struct AdmissionController<Id> {
    config: AdmissionConfig,
    pub(super) estimator: Estimator,
    pub(super) running: HashMap<Id, Running>,
    pub(super) queue: Queue<Id>,
    reservations: Reservations,
    /// When the engine will have taken in all prompts that were started.
    prefill_until: MonoTime,
    /// When the last step was seen to end: its other tokens tell nothing new.
    last_step_seen: MonoTime,
}

impl<Id: Clone + Eq + Hash> AdmissionController<Id> {
    /// A controller that has learnt nothing yet.
    pub fn new(config: AdmissionConfig) -> Self {
        let queue = Queue::new(config.order);
        Self {
            config,
            estimator: Estimator::default(),
            running: HashMap::new(),
            queue,
            reservations: Reservations::default(),
            prefill_until: MonoTime::default(),
            last_step_seen: MonoTime::default(),
        }
    }

    /// How much runs.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// How much waits.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// How many refused callers have a place kept.
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    /// How much may run at once, as far as the step time is known.
    pub fn concurrency(&self) -> usize {
        let target = self.config.token_interval_target;
        let max = self.config.max_in_flight_requests;
        self.estimator.steps().largest_batch_within(target, max)
    }

    /// What was learnt.
    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Offers work.
    pub fn offer(&mut self, now: MonoTime, work: AdmissionRequest<Id>) -> AdmissionDecision {
        self.reservations.forget_missed(now);
        let key = work.key;
        let waiting = self.waiting(now, work);
        let prediction = self.predict_waiting(now, &waiting);
        if let Some((reason, earliest)) = prediction.refusal {
            let retry_after = self.reserve(now, key, reason, earliest);
            return AdmissionDecision::Refused { reason, retry_after };
        }
        self.reservations.keep(key);
        if self.has_room() {
            self.start(now, &waiting.work);
            return AdmissionDecision::Start;
        }
        let predicted_wait = self.wait_at(now, self.queue.position(now, &waiting), 0);
        self.queue.insert(now, Waiting { predicted_wait, ..waiting });
        AdmissionDecision::Queued
    }

    /// What work would cost if it were offered now.
    pub fn predict(&self, now: MonoTime, work: AdmissionRequest<Id>) -> Prediction {
        let waiting = self.waiting(now, work);
        self.predict_waiting(now, &waiting)
    }

    /// What of the waiting work starts or ends now. To be called when work has
    /// finished and when [`Self::next_due`] has come.
    pub fn next(&mut self, now: MonoTime) -> Vec<QueueDecision<Id>> {
        let mut decisions = Vec::new();
        for overdue in self.queue.take_overdue(now) {
            let waited = now.since(overdue.work.arrived);
            self.estimator.observe_wait_error(overdue.predicted_wait, waited);
            let earliest = self.drain_time(now);
            let retry_after =
                self.reserve(now, overdue.work.key, NotRunReason::Overloaded, earliest);
            decisions.push(QueueDecision::Refused { id: overdue.work.id, retry_after });
        }
        while self.has_free_place()
            && let Some(waiting) = self.queue.pop(now)
        {
            let waited = now.since(waiting.work.arrived);
            self.estimator.observe_wait_error(waiting.predicted_wait, waited);
            self.start(now, &waiting.work);
            decisions.push(QueueDecision::Start(waiting.work.id));
        }
        decisions
    }

    /// When waiting work is next overdue.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.queue.iter().map(Waiting::latest_start).min()
    }

    /// A token of running work came. Whether waiting work may start now, because the
    /// step time that was just learnt leaves room for more.
    pub fn token(&mut self, now: MonoTime, id: &Id) -> bool {
        self.learn_from_token(now, id);
        self.queue.len() > 0 && self.has_free_place()
    }

    fn learn_from_token(&mut self, now: MonoTime, id: &Id) {
        let batch = self.running.len();
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        running.made_tokens += 1;
        match running.last_token.replace(now) {
            Some(last) => {
                let step = now.since(last);
                if now.since(self.last_step_seen) >= step / 2 {
                    self.last_step_seen = now;
                    self.estimator.observe_step(batch, step);
                }
            }
            None => {
                let took = now.since(running.started);
                let prefill_tokens = running.prefill_ahead_tokens;
                let predicted = running.predicted_first;
                self.estimator.observe_first_token(prefill_tokens, batch, took);
                self.estimator.observe_first_token_error(predicted, took);
                self.prefill_taken_in(now);
            }
        }
    }

    /// Running work has ended with an answer of so many tokens. An answer that came
    /// as one piece tells the mean step, one that came token by token has told it.
    pub fn finished(&mut self, now: MonoTime, id: &Id, completion_tokens: u64) {
        let batch = self.running.len();
        let Some(running) = self.running.remove(id) else {
            return;
        };
        let took = now.since(running.started);
        if completion_tokens == 0 {
            self.estimator.observe_call(took);
            return;
        }
        self.estimator.observe_answer(completion_tokens);
        let came_whole = running.made_tokens < completion_tokens / 2;
        if came_whole {
            let prefill = self.estimator.prefill(running.prefill_ahead_tokens);
            let tokens = u32::try_from(completion_tokens).unwrap_or(u32::MAX);
            let generation = took.saturating_sub(prefill);
            self.estimator.observe_step(batch, generation / tokens);
            self.prefill_taken_in(now);
        }
    }

    /// Work is over without an answer, whether it ran or waited.
    pub fn abandoned(&mut self, id: &Id) {
        self.running.remove(id);
        self.queue.remove(id);
    }

    fn has_free_place(&self) -> bool {
        self.running.len() < self.concurrency()
    }

    fn has_room(&self) -> bool {
        self.queue.len() == 0 && self.has_free_place()
    }

    fn start(&mut self, now: MonoTime, work: &AdmissionRequest<Id>) {
        let left = self.prefill_until.since(now);
        let ahead = self.estimator.prefill_tokens_in(left);
        let own = self.estimator.prefill(work.uncached_tokens as f64);
        self.prefill_until = now.after(left + own);
        let step = self.estimator.steps().step(self.running.len() + 1);
        let running = Running {
            started: now,
            predicted_first: left + own + step,
            uncached_tokens: work.uncached_tokens,
            prefill_ahead_tokens: work.uncached_tokens as f64 + ahead,
            expected_tokens: self.estimator.expected_tokens(work.completion_tokens),
            bound_tokens: work.completion_tokens,
            made_tokens: 0,
            last_token: None,
        };
        self.running.insert(work.id.clone(), running);
    }

    /// A first token came: if no other is awaited, the engine has taken in everything.
    fn prefill_taken_in(&mut self, now: MonoTime) {
        if self.running.values().all(|running| running.made_tokens > 0) {
            self.prefill_until = now;
        }
    }

    fn waiting(&self, now: MonoTime, work: AdmissionRequest<Id>) -> Waiting<Id> {
        let batch = self.concurrency();
        let own_first = self.estimator.first_token(work.uncached_tokens as f64, batch);
        let margin = self.estimator.first_token_margin();
        let tokens = self.estimator.long_tokens(work.completion_tokens);
        let service = self.estimator.service(work.uncached_tokens, tokens, batch);
        let after_first = service.saturating_sub(own_first);
        let latest = MonoTime(work.deadline.0.saturating_sub(after_first.as_micros() as u64));
        let first_token_due = latest.min(now.after(self.config.first_token_target));
        let is_reserved = self.reservations.is_due(now, work.key);
        Waiting {
            work,
            first_token_due,
            is_reserved,
            predicted_wait: Duration::ZERO,
            own_first: own_first + margin,
            service,
        }
    }

    fn predict_waiting(&self, now: MonoTime, waiting: &Waiting<Id>) -> Prediction {
        let position = self.queue.position(now, waiting);
        let mut wait = self.wait_at(now, position, 0);
        if !waiting.is_reserved {
            // Places reserved to others up to then go first.
            let reserved = self.reservations.places_until(now.after(wait));
            if reserved > 0 {
                wait = self.wait_at(now, position, reserved);
            }
        }
        let batch = self.concurrency().min(self.running.len() + 1);
        let prefill_left = self.prefill_until.since(now.after(wait));
        let own = self.estimator.first_token(waiting.work.uncached_tokens as f64, batch);
        let first_token = wait + prefill_left + own;
        let budget = waiting.first_token_due.since(now);
        let mut margin = self.estimator.first_token_margin();
        if waiting.is_reserved {
            // A kept reservation goes before the margin, which newcomers pay for.
            margin = Duration::ZERO;
        } else if !wait.is_zero() {
            margin += self.estimator.wait_margin();
        }
        let budget = budget.saturating_sub(margin);
        let is_full = self.queue.len() >= self.config.max_queue_len_requests;
        let is_crowded = (!wait.is_zero() && is_full)
            || (!waiting.is_reserved && self.delays_another(now, waiting, position));
        let refusal = if waiting.work.deadline <= now {
            Some((NotRunReason::DeadlinePassed, MIN_RETRY_AFTER))
        } else if first_token > budget && self.estimator.has_learnt() {
            let earliest = first_token.saturating_sub(budget).max(MIN_RETRY_AFTER);
            Some((NotRunReason::Overloaded, earliest))
        } else if is_crowded {
            Some((NotRunReason::Overloaded, self.drain_time(now)))
        } else {
            None
        };
        Prediction { first_token, refusal }
    }

    /// Keeps a place for refused work and gives its time.
    fn reserve(
        &mut self,
        now: MonoTime,
        key: u64,
        reason: NotRunReason,
        earliest: Duration,
    ) -> Duration {
        if reason != NotRunReason::Overloaded {
            return earliest;
        }
        let batch = self.concurrency();
        let places = u32::try_from(batch).unwrap_or(u32::MAX).max(1);
        let spacing = self.estimator.mean_service(batch) / places;
        self.reservations.give(now, key, earliest, spacing)
    }
}
