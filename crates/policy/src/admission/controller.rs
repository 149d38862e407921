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
        /// After which time it is predicted to fit.
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
        /// After which time it is predicted to fit.
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
    /// Prompt tokens that the engine had to take in up to this one's first token: its
    /// own and those of all that were started shortly before.
    prefill_ahead_tokens: u64,
    expected_tokens: u64,
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
    /// When the step under way began, as far as the tokens tell.
    step_began: MonoTime,
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
            step_began: MonoTime::default(),
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
        let waiting = self.waiting(now, work);
        let prediction = self.predict_waiting(now, &waiting);
        if let Some((reason, retry_after)) = prediction.refusal {
            return Offer::Refused { reason, retry_after };
        }
        if self.has_room() {
            self.start(now, &waiting.work);
            return Offer::Start;
        }
        self.queue.insert(now, waiting);
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
            let retry_after = self.drain_time(now);
            decisions.push(Next::Refused { id: overdue.work.id, retry_after });
        }
        while self.has_free_place()
            && let Some(waiting) = self.queue.pop(now)
        {
            self.start(now, &waiting.work);
            decisions.push(Next::Start(waiting.work.id));
        }
        decisions
    }

    /// When waiting work is next overdue.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.queue.iter().map(|waiting| waiting.first_token_due).min()
    }

    /// A token of running work came.
    pub fn token(&mut self, now: MonoTime, id: &Id) {
        let batch = self.running.len();
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        running.made_tokens += 1;
        self.step_began = now;
        match running.last_token.replace(now) {
            Some(last) => self.estimator.observe_step(batch, now.since(last)),
            None => {
                let took = now.since(running.started);
                let prefill_tokens = running.prefill_ahead_tokens;
                self.estimator.observe_first_token(prefill_tokens, batch, took);
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
            let prefill = self.estimator.first_token(running.uncached_tokens, batch);
            let tokens = u32::try_from(completion_tokens).unwrap_or(u32::MAX);
            let generation = took.saturating_sub(prefill);
            self.estimator.observe_step(batch, generation / tokens);
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
        if self.running.is_empty() {
            self.step_began = now;
        }
        let running = Running {
            started: now,
            uncached_tokens: work.uncached_tokens,
            prefill_ahead_tokens: work.uncached_tokens + self.pending_prefill_tokens(),
            expected_tokens: self.estimator.expected_tokens(work.completion_tokens),
            made_tokens: 0,
            last_token: None,
        };
        self.running.insert(work.id.clone(), running);
    }

    fn waiting(&self, now: MonoTime, work: Work<Id>) -> Waiting<Id> {
        let service = self.service_of(&work);
        let first = self.estimator.first_token(work.uncached_tokens, self.concurrency());
        let after_first = service.saturating_sub(first);
        let latest = MonoTime(work.deadline.0.saturating_sub(after_first.as_micros() as u64));
        let first_token_due = latest.min(now.after(self.config.first_token_target));
        Waiting { work, first_token_due, service_us: service.as_micros() as u64 }
    }

    /// The time to the first token of work that starts now: the rest of the step under
    /// way, then a step that takes in its own prompt and those that came meanwhile.
    fn first_token_of_next(&self, now: MonoTime, uncached_tokens: u64, batch: usize) -> Duration {
        if self.running.is_empty() {
            return self.estimator.first_token(uncached_tokens, batch);
        }
        let pending = || self.running.values().filter(|r| r.made_tokens == 0);
        let in_step = pending().filter(|r| r.started <= self.step_began);
        let in_step_tokens = in_step.map(|r| r.uncached_tokens).sum();
        let step = self.estimator.first_token(in_step_tokens, self.running.len());
        let rest_of_step = step.saturating_sub(now.since(self.step_began));
        let joining = pending().filter(|r| r.started > self.step_began);
        let joining_tokens: u64 = joining.map(|r| r.uncached_tokens).sum();
        rest_of_step + self.estimator.first_token(joining_tokens + uncached_tokens, batch)
    }

    /// Prompt tokens of started work that has no token yet.
    fn pending_prefill_tokens(&self) -> u64 {
        let pending = self.running.values().filter(|r| r.made_tokens == 0);
        pending.map(|r| r.uncached_tokens).sum()
    }

    fn service_of(&self, work: &Work<Id>) -> Duration {
        let tokens = self.estimator.expected_tokens(work.completion_tokens);
        self.estimator.service(work.uncached_tokens, tokens, self.concurrency())
    }

    fn predict_waiting(&self, now: MonoTime, waiting: &Waiting<Id>) -> Prediction {
        let (wait, batch) = if self.has_room() {
            (Duration::ZERO, self.running.len() + 1)
        } else {
            let position = self.queue.position(now, waiting);
            (self.wait_at(now, position), self.concurrency())
        };
        let own = if wait.is_zero() {
            self.first_token_of_next(now, waiting.work.uncached_tokens, batch)
        } else {
            self.estimator.first_token(waiting.work.uncached_tokens, batch)
        };
        let first_token = wait + own;
        let budget = waiting.first_token_due.since(now);
        let refusal = if waiting.work.deadline <= now {
            Some((NotRunReason::DeadlinePassed, MIN_RETRY_AFTER))
        } else if first_token > budget {
            let retry_after = first_token.saturating_sub(budget).max(MIN_RETRY_AFTER);
            Some((NotRunReason::Overloaded, retry_after))
        } else if !self.has_room() && self.queue.len() >= self.config.max_queue_len_requests {
            Some((NotRunReason::Overloaded, self.drain_time(now)))
        } else {
            None
        };
        Prediction { first_token, refusal }
    }

    /// How long work at a place in the queue waits for its start: running work frees
    /// its places as it ends, and what waits before takes them in order.
    fn wait_at(&self, now: MonoTime, position: usize) -> Duration {
        let batch = self.concurrency();
        let mut free_at: BinaryHeap<Reverse<Duration>> =
            self.running.values().map(|r| Reverse(self.time_left(now, r, batch))).collect();
        let surplus = self.running.len().saturating_sub(batch);
        for _ in 0..surplus {
            free_at.pop();
        }
        for waiting in self.queue.iter().take(position) {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + self.service_of(&waiting.work)));
        }
        let Reverse(free) = free_at.pop().unwrap_or_default();
        free
    }

    fn time_left(&self, now: MonoTime, running: &Running, batch: usize) -> Duration {
        if running.expected_tokens == 0 {
            let service = self.estimator.service(0, 0, batch);
            return service.saturating_sub(now.since(running.started));
        }
        if running.last_token.is_none() {
            // It may come as one piece: only time tells how far it is.
            let service =
                self.estimator.service(running.uncached_tokens, running.expected_tokens, batch);
            let step = self.estimator.steps().step(batch);
            return service.saturating_sub(now.since(running.started)).max(step);
        }
        let left = running.expected_tokens.saturating_sub(running.made_tokens).max(1);
        self.estimator.steps().step(batch) * u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// How long until all that waits now has started.
    fn drain_time(&self, now: MonoTime) -> Duration {
        self.wait_at(now, self.queue.len()).max(MIN_RETRY_AFTER)
    }
}
