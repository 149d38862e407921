//! The admission controller.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;

use super::AdmissionConfig;
use super::Estimator;
use super::Work;
use super::promises::Promises;
use super::queue::Queue;
use super::queue::Waiting;

/// The shortest time a refused caller is told to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The answer to an offer of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
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
pub enum Next<Id> {
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

#[derive(Debug)]
struct Running {
    started: MonoTime,
    uncached_tokens: u64,
    /// Prompt tokens that the engine has to take in up to this one's first token: its
    /// own and what is left of those started before.
    prefill_ahead_tokens: f64,
    /// The time to its first token, as predicted at its start.
    predicted_first: Duration,
    expected_tokens: u64,
    bound_tokens: u64,
    made_tokens: u64,
    last_token: Option<MonoTime>,
}

/// The admission controller of one upstream.
#[derive(Debug)]
pub struct Admission<Id> {
    config: AdmissionConfig,
    estimator: Estimator,
    running: HashMap<Id, Running>,
    queue: Queue<Id>,
    promises: Promises,
    /// When the engine will have taken in all prompts that were started.
    prefill_until: MonoTime,
    /// When the last step was seen to end: its other tokens tell nothing new.
    last_step_seen: MonoTime,
}

impl<Id: Clone + Eq + Hash> Admission<Id> {
    /// A controller that has learnt nothing yet.
    pub fn new(config: AdmissionConfig) -> Self {
        let queue = Queue::new(config.order);
        Self {
            config,
            estimator: Estimator::default(),
            running: HashMap::new(),
            queue,
            promises: Promises::default(),
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
    pub fn promised(&self) -> usize {
        self.promises.len()
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
    pub fn offer(&mut self, now: MonoTime, work: Work<Id>) -> Offer {
        self.promises.forget_missed(now);
        let key = work.key;
        let waiting = self.waiting(now, work);
        let prediction = self.predict_waiting(now, &waiting);
        if let Some((reason, earliest)) = prediction.refusal {
            let retry_after = self.promise(now, key, reason, earliest);
            return Offer::Refused { reason, retry_after };
        }
        self.promises.keep(key);
        if self.has_room() {
            self.start(now, &waiting.work);
            return Offer::Start;
        }
        let predicted_wait = self.wait_at(now, self.queue.position(now, &waiting), 0);
        self.queue.insert(now, Waiting { predicted_wait, ..waiting });
        Offer::Queued
    }

    /// What work would cost if it were offered now.
    pub fn predict(&self, now: MonoTime, work: Work<Id>) -> Prediction {
        let waiting = self.waiting(now, work);
        self.predict_waiting(now, &waiting)
    }

    /// What of the waiting work starts or ends now. To be called when work has
    /// finished and when [`Self::next_due`] has come.
    pub fn next(&mut self, now: MonoTime) -> Vec<Next<Id>> {
        let mut decisions = Vec::new();
        for overdue in self.queue.take_overdue(now) {
            let waited = now.since(overdue.work.arrived);
            self.estimator.observe_wait_error(overdue.predicted_wait, waited);
            let earliest = self.drain_time(now);
            let retry_after =
                self.promise(now, overdue.work.key, NotRunReason::Overloaded, earliest);
            decisions.push(Next::Refused { id: overdue.work.id, retry_after });
        }
        while self.has_free_place()
            && let Some(waiting) = self.queue.pop(now)
        {
            let waited = now.since(waiting.work.arrived);
            self.estimator.observe_wait_error(waiting.predicted_wait, waited);
            self.start(now, &waiting.work);
            decisions.push(Next::Start(waiting.work.id));
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

    fn start(&mut self, now: MonoTime, work: &Work<Id>) {
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

    fn waiting(&self, now: MonoTime, work: Work<Id>) -> Waiting<Id> {
        let batch = self.concurrency();
        let own_first = self.estimator.first_token(work.uncached_tokens as f64, batch);
        let margin = self.estimator.first_token_margin();
        let tokens = self.estimator.long_tokens(work.completion_tokens);
        let service = self.estimator.service(work.uncached_tokens, tokens, batch);
        let after_first = service.saturating_sub(own_first);
        let latest = MonoTime(work.deadline.0.saturating_sub(after_first.as_micros() as u64));
        let first_token_due = latest.min(now.after(self.config.first_token_target));
        let is_promised = self.promises.is_due(now, work.key);
        Waiting {
            work,
            first_token_due,
            is_promised,
            predicted_wait: Duration::ZERO,
            own_first: own_first + margin,
            service,
        }
    }

    fn predict_waiting(&self, now: MonoTime, waiting: &Waiting<Id>) -> Prediction {
        let position = self.queue.position(now, waiting);
        let mut wait = self.wait_at(now, position, 0);
        if !waiting.is_promised {
            // Places promised to others up to then go first.
            let promised = self.promises.places_until(now.after(wait));
            if promised > 0 {
                wait = self.wait_at(now, position, promised);
            }
        }
        let batch = self.concurrency().min(self.running.len() + 1);
        let prefill_left = self.prefill_until.since(now.after(wait));
        let own = self.estimator.first_token(waiting.work.uncached_tokens as f64, batch);
        let first_token = wait + prefill_left + own;
        let budget = waiting.first_token_due.since(now);
        let mut margin = self.estimator.first_token_margin();
        if waiting.is_promised {
            // A kept promise goes before the margin, which newcomers pay for.
            margin = Duration::ZERO;
        } else if !wait.is_zero() {
            margin += self.estimator.wait_margin();
        }
        let budget = budget.saturating_sub(margin);
        let is_full = self.queue.len() >= self.config.max_queue_len_requests;
        let is_crowded = (!wait.is_zero() && is_full)
            || (!waiting.is_promised && self.delays_another(now, waiting, position));
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

    /// Whether work that goes before others in the queue would make one of them late.
    fn delays_another(&self, now: MonoTime, waiting: &Waiting<Id>, position: usize) -> bool {
        if position >= self.queue.len() {
            return false;
        }
        let mut free_at = self.places(now);
        let mut take = |waiting: &Waiting<Id>| {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + waiting.service));
            free
        };
        let before = self.queue.iter().take(position);
        before.for_each(|other| {
            take(other);
        });
        take(waiting);
        let mut after = self.queue.iter().skip(position);
        after.any(|other| now.after(take(other)) > other.latest_start())
    }

    /// How long work at a place in the queue waits for its start: running work frees
    /// its places as it ends, and what waits before takes them in order, and so do
    /// `promised` places of mean length.
    fn wait_at(&self, now: MonoTime, position: usize, promised: usize) -> Duration {
        let free = self.concurrency().saturating_sub(self.running.len());
        if position + promised < free {
            return Duration::ZERO;
        }
        let mut free_at = self.places(now);
        let mean = self.estimator.mean_service(self.concurrency());
        let promised = std::iter::repeat_n(mean, promised);
        let ahead = self.queue.iter().take(position).map(|waiting| waiting.service);
        for service in ahead.chain(promised) {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + service));
        }
        let Reverse(free) = free_at.pop().unwrap_or_default();
        free
    }

    /// When each place is free.
    fn places(&self, now: MonoTime) -> BinaryHeap<Reverse<Duration>> {
        let batch = self.concurrency();
        let running = self.running.values().map(|r| Reverse(self.time_left(now, r, batch)));
        let mut free_at: BinaryHeap<_> = running.collect();
        for _ in self.running.len()..batch {
            free_at.push(Reverse(Duration::ZERO));
        }
        for _ in batch..self.running.len() {
            free_at.pop();
        }
        free_at
    }

    fn time_left(&self, now: MonoTime, running: &Running, batch: usize) -> Duration {
        if running.bound_tokens == 0 {
            let service = self.estimator.service(0, 0, batch);
            return service.saturating_sub(now.since(running.started));
        }
        let step = self.estimator.steps().step(batch);
        if running.last_token.is_none() {
            // It may come as one piece: only time tells how far it is.
            let service =
                self.estimator.service(running.uncached_tokens, running.expected_tokens, batch);
            return service.saturating_sub(now.since(running.started)).max(step);
        }
        let left = self.estimator.tokens_left(running.bound_tokens, running.made_tokens);
        step * u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// How long until all that waits now has started.
    fn drain_time(&self, now: MonoTime) -> Duration {
        self.wait_at(now, self.queue.len(), 0).max(MIN_RETRY_AFTER)
    }

    /// Keeps a place for refused work and gives its time.
    fn promise(
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
        self.promises.give(now, key, earliest, spacing)
    }
}
