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
use super::queue::QueuedRequest;
use super::running::Running;
use crate::overload::Reservations;

/// The shortest retry time.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request waits; [`AdmissionController::next`] starts or rejects it.
    Queued,
    /// The request is rejected.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// The time after which a slot is reserved for a retry.
        retry_after: Duration,
    },
}

/// The decision on a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueDecision<Id> {
    /// The request starts now.
    Start(Id),
    /// The request is rejected: its first token would be late.
    Refused {
        /// Which request.
        id: Id,
        /// The time after which a slot is reserved for a retry.
        retry_after: Duration,
    },
}

/// The prediction for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// The time to the first token.
    pub first_token: Duration,
    /// Why the request would be rejected, and the time after which it would be admitted.
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
    /// When the engine is predicted to have prefilled all prompts of started requests.
    prefill_until: MonoTime,
    /// The end of the last observed step. Other tokens of the same step are ignored.
    last_step_seen: MonoTime,
}

impl<Id: Clone + Eq + Hash> AdmissionController<Id> {
    /// Creates a controller without observations.
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

    /// The number of running requests.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// The number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// The number of reservations.
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    /// The number of requests that may run at once, by the estimated step time.
    pub fn concurrency(&self) -> usize {
        let target = self.config.token_interval_target;
        let max = self.config.max_in_flight_requests;
        self.estimator.steps().largest_batch_within(target, max)
    }

    /// The estimates.
    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Starts, queues or rejects a request.
    pub fn offer(&mut self, now: MonoTime, request: AdmissionRequest<Id>) -> AdmissionDecision {
        self.reservations.expire_missed(now);
        let key = request.key;
        let queued = self.queued_request(now, request);
        let prediction = self.predict_queued(now, &queued);
        if let Some((reason, earliest)) = prediction.refusal {
            let retry_after = self.reserve(now, key, reason, earliest);
            return AdmissionDecision::Refused { reason, retry_after };
        }
        self.reservations.redeem(key);
        if self.can_start_now() {
            self.start(now, &queued.request);
            return AdmissionDecision::Start;
        }
        let predicted_wait = self.estimate_wait(now, self.queue.position(now, &queued), 0);
        self.queue.insert(now, QueuedRequest { predicted_wait, ..queued });
        AdmissionDecision::Queued
    }

    /// Predicts the decision on a request that is offered now.
    pub fn predict(&self, now: MonoTime, request: AdmissionRequest<Id>) -> Prediction {
        let queued = self.queued_request(now, request);
        self.predict_queued(now, &queued)
    }

    /// Starts and rejects queued requests. To be called when a request has finished and at
    /// the time of [`Self::next_due`].
    pub fn next(&mut self, now: MonoTime) -> Vec<QueueDecision<Id>> {
        let mut decisions = Vec::new();
        for overdue in self.queue.take_overdue(now) {
            let waited = now.since(overdue.request.arrived);
            self.estimator.observe_wait_error(overdue.predicted_wait, waited);
            let earliest = self.drain_time(now);
            let retry_after =
                self.reserve(now, overdue.request.key, NotRunReason::Overloaded, earliest);
            decisions.push(QueueDecision::Refused { id: overdue.request.id, retry_after });
        }
        while self.has_free_slot()
            && let Some(queued) = self.queue.pop(now)
        {
            let waited = now.since(queued.request.arrived);
            self.estimator.observe_wait_error(queued.predicted_wait, waited);
            self.start(now, &queued.request);
            decisions.push(QueueDecision::Start(queued.request.id));
        }
        decisions
    }

    /// When the next queued request becomes overdue.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.queue.iter().map(QueuedRequest::latest_start).min()
    }

    /// Records a token of a running request. Returns whether a queued request may start now,
    /// because the new estimate of the step time allows more concurrency.
    pub fn token(&mut self, now: MonoTime, id: &Id) -> bool {
        self.observe_token(now, id);
        self.queue.len() > 0 && self.has_free_slot()
    }

    fn observe_token(&mut self, now: MonoTime, id: &Id) {
        let batch = self.running.len();
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        running.generated_tokens += 1;
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
                self.reset_prefill_backlog(now);
            }
        }
    }

    /// Records the end of a running request. A response that arrived in one piece gives the
    /// mean step time; a streamed one has given it token by token.
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
        self.estimator.observe_response_length(completion_tokens);
        let is_single_piece = running.generated_tokens < completion_tokens / 2;
        if is_single_piece {
            let prefill = self.estimator.prefill(running.prefill_ahead_tokens);
            let tokens = u32::try_from(completion_tokens).unwrap_or(u32::MAX);
            let generation = took.saturating_sub(prefill);
            self.estimator.observe_step(batch, generation / tokens);
            self.reset_prefill_backlog(now);
        }
    }

    /// Removes a running or queued request that ended without a response.
    pub fn abandoned(&mut self, id: &Id) {
        self.running.remove(id);
        self.queue.remove(id);
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.concurrency()
    }

    fn can_start_now(&self) -> bool {
        self.queue.len() == 0 && self.has_free_slot()
    }

    fn start(&mut self, now: MonoTime, request: &AdmissionRequest<Id>) {
        let left = self.prefill_until.since(now);
        let ahead = self.estimator.prefill_tokens_in(left);
        let own = self.estimator.prefill(request.uncached_tokens as f64);
        self.prefill_until = now.after(left + own);
        let step = self.estimator.steps().step(self.running.len() + 1);
        let running = Running {
            started: now,
            predicted_first: left + own + step,
            uncached_tokens: request.uncached_tokens,
            prefill_ahead_tokens: request.uncached_tokens as f64 + ahead,
            expected_tokens: self.estimator.expected_tokens(request.completion_tokens),
            bound_tokens: request.completion_tokens,
            generated_tokens: 0,
            last_token: None,
        };
        self.running.insert(request.id.clone(), running);
    }

    /// Resets the prefill backlog after a first token, if no other first token is awaited.
    fn reset_prefill_backlog(&mut self, now: MonoTime) {
        if self.running.values().all(|running| running.generated_tokens > 0) {
            self.prefill_until = now;
        }
    }

    fn queued_request(&self, now: MonoTime, request: AdmissionRequest<Id>) -> QueuedRequest<Id> {
        let batch = self.concurrency();
        let time_to_first_token = self.estimator.first_token(request.uncached_tokens as f64, batch);
        let margin = self.estimator.first_token_margin();
        let tokens = self.estimator.long_tokens(request.completion_tokens);
        let service = self.estimator.service(request.uncached_tokens, tokens, batch);
        let after_first = service.saturating_sub(time_to_first_token);
        let latest = MonoTime(request.deadline.0.saturating_sub(after_first.as_micros() as u64));
        let first_token_due = latest.min(now.after(self.config.first_token_target));
        let has_reservation = self.reservations.is_due(now, request.key);
        QueuedRequest {
            request,
            first_token_due,
            has_reservation,
            predicted_wait: Duration::ZERO,
            time_to_first_token: time_to_first_token + margin,
            service,
        }
    }

    fn predict_queued(&self, now: MonoTime, queued: &QueuedRequest<Id>) -> Prediction {
        let position = self.queue.position(now, queued);
        let mut wait = self.estimate_wait(now, position, 0);
        if !queued.has_reservation {
            // Reservations that are due by then go first.
            let reserved = self.reservations.count_until(now.after(wait));
            if reserved > 0 {
                wait = self.estimate_wait(now, position, reserved);
            }
        }
        let batch = self.concurrency().min(self.running.len() + 1);
        let prefill_left = self.prefill_until.since(now.after(wait));
        let own = self.estimator.first_token(queued.request.uncached_tokens as f64, batch);
        let first_token = wait + prefill_left + own;
        let budget = queued.first_token_due.since(now);
        let mut margin = self.estimator.first_token_margin();
        if queued.has_reservation {
            // Only requests without a reservation bear the margin.
            margin = Duration::ZERO;
        } else if !wait.is_zero() {
            margin += self.estimator.wait_margin();
        }
        let budget = budget.saturating_sub(margin);
        let is_full = self.queue.len() >= self.config.max_queue_len_requests;
        let is_congested = (!wait.is_zero() && is_full)
            || (!queued.has_reservation && self.would_delay_queued(now, queued, position));
        let refusal = if queued.request.deadline <= now {
            Some((NotRunReason::DeadlinePassed, MIN_RETRY_AFTER))
        } else if first_token > budget && self.estimator.is_trained() {
            let earliest = first_token.saturating_sub(budget).max(MIN_RETRY_AFTER);
            Some((NotRunReason::Overloaded, earliest))
        } else if is_congested {
            Some((NotRunReason::Overloaded, self.drain_time(now)))
        } else {
            None
        };
        Prediction { first_token, refusal }
    }

    /// Reserves a slot for a rejected request and returns its retry time.
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
        let slot_free_times = u32::try_from(batch).unwrap_or(u32::MAX).max(1);
        let spacing = self.estimator.mean_service(batch) / slot_free_times;
        self.reservations.reserve_at(now, key, earliest, spacing)
    }
}
