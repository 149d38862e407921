//! Simulated upstream: the real admission controller in front of a simulated engine.

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

/// A request in the engine's batch.
#[derive(Debug)]
struct Active {
    id: usize,
    tokens_left: u64,
    tokens_made: u64,
    prefill_tokens: u64,
}

/// Result of one engine step.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Requests that got their first token.
    pub first_tokens: Vec<usize>,
    /// Requests that finished.
    pub finished: Vec<usize>,
    /// Requests that were rejected while queued, with the delay before a retry.
    pub refused: Vec<(usize, Duration)>,
    /// Duration of the step, which is the token interval of every request in the batch.
    pub took: Duration,
    /// Number of requests that got a token.
    pub batch: usize,
}

/// A simulated upstream: the real admission controller in front of a simulated engine.
#[derive(Debug)]
pub struct FakeUpstream {
    /// Timing of the engine.
    pub times: EngineTimes,
    /// The admission controller.
    pub admission: AdmissionController<usize>,
    /// While set, the upstream begins no step. The benches treat its probes as timed out.
    pub is_frozen: bool,
    active: Vec<Active>,
    /// Requests admitted during a step; they join the batch at the next one.
    joining_requests: Vec<Active>,
    waiting: HashMap<usize, FakeRequest>,
    step_began: Option<MonoTime>,
    step_ends: Option<MonoTime>,
    cached_blocks: HashSet<u64>,
    insertion_order: VecDeque<u64>,
    cache_blocks: usize,
    block_tokens: u64,
    /// Blocks that the sidecar assumes to be cached.
    known_blocks: HashSet<u64>,
    /// Cache events in transit to the sidecar, `(stored, block)` each. `None` stands for a detected loss.
    events: VecDeque<(MonoTime, Option<(bool, u64)>)>,
    event_lag: Duration,
    lose_event_every: u64,
    event_count: u64,
}

impl FakeUpstream {
    /// Creates an idle upstream.
    pub fn new(times: EngineTimes, config: AdmissionConfig) -> Self {
        Self {
            times,
            admission: AdmissionController::new(config),
            is_frozen: false,
            active: Vec::new(),
            joining_requests: Vec::new(),
            waiting: HashMap::new(),
            step_began: None,
            step_ends: None,
            cached_blocks: HashSet::new(),
            insertion_order: VecDeque::new(),
            cache_blocks: 4_096,
            block_tokens: 64,
            known_blocks: HashSet::new(),
            events: VecDeque::new(),
            event_lag: Duration::from_millis(200),
            lose_event_every: 0,
            event_count: 0,
        }
    }

    /// Delays cache events by `lag` and drops one in `lose_every`; 0 drops none.
    pub fn with_cache_events(mut self, lag: Duration, lose_every: u64) -> Self {
        self.event_lag = lag;
        self.lose_event_every = lose_every;
        self
    }

    /// Returns the number of running and queued requests.
    pub fn load(&self) -> usize {
        self.admission.in_flight() + self.admission.queue_len()
    }

    /// Returns the prediction with which a sidecar would answer a probe.
    pub fn predict(
        &mut self,
        now: MonoTime,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> Prediction {
        let admission_request = self.admission_request(now, usize::MAX, request, deadline);
        self.admission.predict(now, admission_request)
    }

    /// Returns the time to the first token if the request were offered now, computed from the engine's actual
    /// state. Queued requests count only with their prefill. Only an oracle policy can use it.
    pub fn oracle_first_token_time(&self, now: MonoTime, request: &FakeRequest) -> Duration {
        let cached_blocks =
            request.blocks.iter().take_while(|b| self.cached_blocks.contains(b)).count() as u64;
        let own = request.prompt_tokens - cached_blocks * self.block_tokens;
        let running = self.active.iter().chain(&self.joining_requests);
        let running: u64 = running.map(|active| active.prefill_tokens).sum();
        let waiting: u64 = self.waiting.values().map(|waiting| waiting.prompt_tokens).sum();
        let batch = self.active.len() + self.joining_requests.len() + 1;
        let rest_of_step = self.step_ends.map(|ends| ends.since(now)).unwrap_or_default();
        let tokens = own + running + waiting;
        let steps = tokens.div_ceil(self.times.prefill_tokens_per_step).max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        rest_of_step + self.times.step(batch, 0) * (steps - 1) + self.times.step(batch, tokens)
    }

    /// Offers a request to the admission controller.
    pub fn offer(
        &mut self,
        now: MonoTime,
        id: usize,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> AdmissionDecision {
        let admission_request = self.admission_request(now, id, request, deadline);
        let decision = self.admission.offer(now, admission_request);
        match decision {
            AdmissionDecision::Start => self.start(now, id, request),
            AdmissionDecision::Queued => {
                self.waiting.insert(id, request.clone());
            }
            AdmissionDecision::Refused { .. } => {}
        }
        decision
    }

    /// Begins a step if there are requests and no step is running. Returns the time at which the step ends.
    pub fn begin_step(&mut self, now: MonoTime) -> Option<MonoTime> {
        if self.step_began.is_some() || self.is_frozen {
            return None;
        }
        self.active.append(&mut self.joining_requests);
        if self.active.is_empty() {
            return None;
        }
        self.step_began = Some(now);
        let prefill = self.schedule_prefill();
        self.step_ends = Some(now.after(self.times.step(self.active.len(), prefill)));
        self.step_ends
    }

    /// Assigns the step's prefill budget to prompts, in order of arrival, and returns the tokens assigned.
    fn schedule_prefill(&mut self) -> u64 {
        let mut room = self.times.prefill_tokens_per_step;
        for active in &mut self.active {
            let part = active.prefill_tokens.min(room);
            active.prefill_tokens -= part;
            room -= part;
        }
        self.times.prefill_tokens_per_step - room
    }

    /// Ends the running step.
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

    /// Applies the admission controller's decisions on queued requests.
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
        let cached_blocks =
            request.blocks.iter().take_while(|b| self.cached_blocks.contains(b)).count() as u64;
        for block in &request.blocks {
            self.store(now, *block);
        }
        // The sidecar assumes that prompts it sends are cached before an event confirms it.
        self.known_blocks.extend(&request.blocks);
        let prefill_tokens = request.prompt_tokens - cached_blocks * self.block_tokens;
        self.joining_requests.push(Active {
            id,
            tokens_left: request.completion_tokens,
            tokens_made: 0,
            prefill_tokens,
        });
    }

    fn store(&mut self, now: MonoTime, block: u64) {
        if !self.cached_blocks.insert(block) {
            return;
        }
        self.insertion_order.push_back(block);
        self.publish(now, true, block);
        while self.cached_blocks.len() > self.cache_blocks
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.cached_blocks.remove(&oldest);
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
            // The sidecar detects the gap in the sequence numbers and requests the whole list.
            self.events.push_back((due, None));
        }
    }

    fn admission_request(
        &mut self,
        now: MonoTime,
        id: usize,
        request: &FakeRequest,
        deadline: MonoTime,
    ) -> AdmissionRequest<usize> {
        while self.events.front().is_some_and(|(due, _)| *due <= now) {
            match self.events.pop_front() {
                Some((_, Some((true, block)))) => {
                    self.known_blocks.insert(block);
                }
                Some((_, Some((false, block)))) => {
                    self.known_blocks.remove(&block);
                }
                Some((_, None)) => self.known_blocks = self.cached_blocks.clone(),
                None => break,
            }
        }
        // Only lengths at prefix marks are available, as on the wire.
        let marks = prefix_marks(request.blocks.len());
        let is_known = |blocks: &usize| self.known_blocks.contains(&request.blocks[blocks - 1]);
        let known_blocks = marks.into_iter().take_while(is_known).last().unwrap_or_default() as u64;
        AdmissionRequest {
            id,
            key: id as u64,
            arrived: now,
            deadline,
            uncached_tokens: request.prompt_tokens - known_blocks * self.block_tokens,
            completion_tokens: request.completion_tokens,
        }
    }
}
