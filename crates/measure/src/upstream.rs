//! An upstream in virtual time: the real admission controller before a fake engine.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::prefix_marks;
use stallhoist_policy::admission::AdmissionConfig;
use stallhoist_policy::admission::AdmissionController;
use stallhoist_policy::admission::AdmissionDecision;
use stallhoist_policy::admission::AdmissionRequest;
use stallhoist_policy::admission::Prediction;
use stallhoist_policy::admission::QueueDecision;

use super::EngineTimes;
use super::FakeRequest;

/// A request in the batch.
#[derive(Debug)]
struct Active {
    id: usize,
    tokens_left: u64,
    tokens_made: u64,
    prefill_tokens: u64,
}

/// What a step brought.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Requests whose first token came.
    pub first_tokens: Vec<usize>,
    /// Requests that ended.
    pub finished: Vec<usize>,
    /// Requests that were refused after waiting, with the time to stay away.
    pub refused: Vec<(usize, Duration)>,
    /// How long the step took: the time between tokens of all in the batch.
    pub took: Duration,
    /// How many got a token.
    pub batch: usize,
}

/// An upstream in virtual time: the real admission controller before a fake engine.
#[derive(Debug)]
pub struct FakeUpstream {
    /// How long the engine takes.
    pub times: EngineTimes,
    /// The controller.
    pub admission: AdmissionController<usize>,
    /// While set, the upstream neither answers nor works.
    pub is_frozen: bool,
    active: Vec<Active>,
    /// Admitted while a step is under way: in the batch from the next one on.
    joining: Vec<Active>,
    waiting: HashMap<usize, FakeRequest>,
    step_began: Option<MonoTime>,
    step_ends: Option<MonoTime>,
    cached: HashSet<u64>,
    by_age: VecDeque<u64>,
    cache_blocks: usize,
    block_tokens: u64,
    /// What the sidecar knows of the cache.
    known: HashSet<u64>,
    /// Events on their way to the sidecar; every so many one is lost.
    events: VecDeque<(MonoTime, Option<(bool, u64)>)>,
    event_lag: Duration,
    lose_event_every: u64,
    event_count: u64,
}

impl FakeUpstream {
    /// An idle upstream.
    pub fn new(times: EngineTimes, config: AdmissionConfig) -> Self {
        Self {
            times,
            admission: AdmissionController::new(config),
            is_frozen: false,
            active: Vec::new(),
            joining: Vec::new(),
            waiting: HashMap::new(),
            step_began: None,
            step_ends: None,
            cached: HashSet::new(),
            by_age: VecDeque::new(),
            cache_blocks: 4_096,
            block_tokens: 64,
            known: HashSet::new(),
            events: VecDeque::new(),
            event_lag: Duration::from_millis(200),
            lose_event_every: 0,
            event_count: 0,
        }
    }

    /// Makes cache events come this late, and loses one in `lose_every`.
    pub fn with_cache_events(mut self, lag: Duration, lose_every: u64) -> Self {
        self.event_lag = lag;
        self.lose_event_every = lose_every;
        self
    }

    /// How much runs and waits, as the engine would report it.
    pub fn load(&self) -> usize {
        self.admission.in_flight() + self.admission.queue_len()
    }

    /// What a probe would be answered.
    pub fn predict(
        &mut self,
        now: MonoTime,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> Prediction {
        let work = self.work(now, usize::MAX, request, deadline);
        self.admission.predict(now, work)
    }

    /// The true time to the first token if the request were offered now, which only an
    /// oracle can know; queued work counts with its prefill alone.
    pub fn oracle_first_token_time(&self, now: MonoTime, request: &FakeRequest) -> Duration {
        let cached = request.blocks.iter().take_while(|b| self.cached.contains(b)).count() as u64;
        let own = request.prompt_tokens - cached * self.block_tokens;
        let running = self.active.iter().chain(&self.joining);
        let running: u64 = running.map(|active| active.prefill_tokens).sum();
        let waiting: u64 = self.waiting.values().map(|waiting| waiting.prompt_tokens).sum();
        let batch = self.active.len() + self.joining.len() + 1;
        let rest_of_step = self.step_ends.map(|ends| ends.since(now)).unwrap_or_default();
        let tokens = own + running + waiting;
        let steps = tokens.div_ceil(self.times.prefill_tokens_per_step).max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        rest_of_step + self.times.step(batch, 0) * (steps - 1) + self.times.step(batch, tokens)
    }

    /// Offers a request.
    pub fn offer(
        &mut self,
        now: MonoTime,
        id: usize,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> AdmissionDecision {
        let work = self.work(now, id, request, deadline);
        let offer = self.admission.offer(now, work);
        match offer {
            AdmissionDecision::Start => self.start(now, id, request),
            AdmissionDecision::Queued => {
                self.waiting.insert(id, request.clone());
            }
            AdmissionDecision::Refused { .. } => {}
        }
        offer
    }

    /// Begins a step if there is work and none is under way; when it ends.
    pub fn begin_step(&mut self, now: MonoTime) -> Option<MonoTime> {
        if self.step_began.is_some() || self.is_frozen {
            return None;
        }
        self.active.append(&mut self.joining);
        if self.active.is_empty() {
            return None;
        }
        self.step_began = Some(now);
        let prefill = self.take_in_prompts();
        self.step_ends = Some(now.after(self.times.step(self.active.len(), prefill)));
        self.step_ends
    }

    /// Takes the next part of prompts into a step, in the order they came.
    fn take_in_prompts(&mut self) -> u64 {
        let mut room = self.times.prefill_tokens_per_step;
        for active in &mut self.active {
            let part = active.prefill_tokens.min(room);
            active.prefill_tokens -= part;
            room -= part;
        }
        self.times.prefill_tokens_per_step - room
    }

    /// Ends the step under way.
    pub fn end_step(&mut self, now: MonoTime) -> StepResult {
        let mut end = StepResult::default();
        self.step_ends = None;
        if let Some(began) = self.step_began.take() {
            end.took = now.since(began);
        }
        let made = self.active.iter_mut().filter(|active| active.prefill_tokens == 0);
        for active in made {
            active.tokens_left -= 1;
            active.tokens_made += 1;
            if active.tokens_made == 1 {
                end.first_tokens.push(active.id);
            }
        }
        let made = self.active.iter().filter(|active| active.tokens_made > 0);
        for active in made {
            self.admission.token(now, &active.id);
            end.batch += 1;
        }
        let (over, left): (Vec<_>, Vec<_>) =
            self.active.drain(..).partition(|active| active.tokens_left == 0);
        self.active = left;
        for active in over {
            self.admission.finished(now, &active.id, active.tokens_made);
            end.finished.push(active.id);
        }
        self.pump(now, &mut end);
        end
    }

    /// Starts and refuses waiting work whose time has come.
    pub fn pump(&mut self, now: MonoTime, end: &mut StepResult) {
        for next in self.admission.next(now) {
            match next {
                QueueDecision::Start(id) => {
                    if let Some(request) = self.waiting.remove(&id) {
                        self.start(now, id, &request);
                    }
                }
                QueueDecision::Refused { id, retry_after } => {
                    self.waiting.remove(&id);
                    end.refused.push((id, retry_after));
                }
            }
        }
    }

    fn start(&mut self, now: MonoTime, id: usize, request: &FakeRequest) {
        let cached = request.blocks.iter().take_while(|b| self.cached.contains(b)).count() as u64;
        for block in &request.blocks {
            self.store(now, *block);
        }
        // The sidecar expects what it sends to be cached, before any event says so.
        self.known.extend(&request.blocks);
        let prefill_tokens = request.prompt_tokens - cached * self.block_tokens;
        self.joining.push(Active {
            id,
            tokens_left: request.completion_tokens,
            tokens_made: 0,
            prefill_tokens,
        });
    }

    fn store(&mut self, now: MonoTime, block: u64) {
        if !self.cached.insert(block) {
            return;
        }
        self.by_age.push_back(block);
        self.publish(now, true, block);
        while self.cached.len() > self.cache_blocks
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.cached.remove(&oldest);
            self.publish(now, false, oldest);
        }
    }

    fn publish(&mut self, now: MonoTime, is_stored: bool, block: u64) {
        self.event_count += 1;
        let every = self.lose_event_every;
        let due = now.after(self.event_lag);
        if every == 0 || !self.event_count.is_multiple_of(every) {
            self.events.push_back((due, Some((is_stored, block))));
        } else {
            // The gap in the numbers shows, and the sidecar asks for the whole list.
            self.events.push_back((due, None));
        }
    }

    fn work(
        &mut self,
        now: MonoTime,
        id: usize,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> AdmissionRequest<usize> {
        while self.events.front().is_some_and(|(due, _)| *due <= now) {
            match self.events.pop_front() {
                Some((_, Some((true, block)))) => {
                    self.known.insert(block);
                }
                Some((_, Some((false, block)))) => {
                    self.known.remove(&block);
                }
                Some((_, None)) => self.known = self.cached.clone(),
                None => break,
            }
        }
        // Only the marks are told, as on the wire.
        let marks = prefix_marks(request.blocks.len());
        let is_known = |blocks: &usize| self.known.contains(&request.blocks[blocks - 1]);
        let known = marks.into_iter().take_while(is_known).last().unwrap_or_default() as u64;
        AdmissionRequest {
            id,
            key: id as u64,
            arrived: now,
            deadline,
            uncached_tokens: request.prompt_tokens - known * self.block_tokens,
            completion_tokens: request.completion_tokens,
        }
    }
}
