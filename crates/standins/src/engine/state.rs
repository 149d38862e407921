//! State that the engine's routes and generations share, and the loop that runs a generation.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde::Serialize;
use stallhoist_core::prefix_hashes;
use tokio::sync::Notify;

use super::cache::PrefixCache;
use super::chat::ChatRequest;
use super::generation::Generation;
use super::generation::GenerationState;
use super::generation::NO_READER_TIMEOUT;
use super::orders::OrderLog;
use super::switches::EngineSwitches;

const MAX_KEPT_LOADS: usize = 1_000;

/// A load report: numbers of running and queued requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Load {
    pub(crate) running_requests: usize,
    pub(crate) waiting_requests: usize,
}

/// State that the engine's routes and generations share. Lock order: `switches`, `generations`, `cache`, `loads`,
/// `orders`.
#[derive(Debug, Default)]
pub(crate) struct EngineState {
    pub(crate) switches: Mutex<EngineSwitches>,
    pub(crate) generations: Mutex<Generations>,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) loads: Mutex<VecDeque<(Instant, Load)>>,
    pub(crate) orders: Mutex<OrderLog>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    arrivals: AtomicU64,
    freed: Notify,
}

/// All generations, by request ID and in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Generations {
    pub(crate) by_request: HashMap<String, Arc<Generation>>,
    pub(crate) in_order: Vec<Arc<Generation>>,
}

impl EngineState {
    /// Counts an arrival and returns whether it has to fail.
    pub(crate) fn should_fail(&self) -> bool {
        let percent = self.switches.lock().fail_percent;
        let number = self.arrivals.fetch_add(1, Ordering::SeqCst);
        // Spaces failures evenly: a request fails if the running sum of percentages crosses a multiple of 100.
        (number * percent) / 100 != ((number + 1) * percent) / 100
    }

    /// Creates a generation and spawns the task that runs it.
    pub(crate) fn start(
        self: &Arc<Self>,
        request_id: String,
        request: &ChatRequest,
    ) -> Arc<Generation> {
        let prompt = request.prompt();
        let prompt_tokens = prompt.split_whitespace().count() as u64;
        let mut words = vec![format!("[{}]", request.model), request.last_text()];
        let wanted = request.completion_tokens();
        words.extend((words.len() as u64..wanted).map(|n| format!("w{n}")));
        words.truncate(usize::try_from(wanted).unwrap_or(usize::MAX));
        let generation = Generation::new(request_id, request.model.clone(), prompt_tokens, words);
        let generation = Arc::new(generation);
        let mut generations = self.generations.lock();
        generations.by_request.insert(generation.request_id.clone(), Arc::clone(&generation));
        generations.in_order.push(Arc::clone(&generation));
        drop(generations);
        tokio::spawn(Arc::clone(self).run(Arc::clone(&generation), prompt));
        generation
    }

    async fn run(self: Arc<Self>, generation: Arc<Generation>, prompt: String) {
        self.wait_for_batch_slot(&generation).await;
        self.record_load();
        self.generate(&generation, &prompt).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.freed.notify_waiters();
        self.record_load();
    }

    async fn wait_for_batch_slot(&self, generation: &Generation) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        loop {
            let freed = self.freed.notified();
            let max_batch = self.switches.lock().max_batch;
            let claim_slot = |running| (running < max_batch).then_some(running + 1);
            let taken = self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, claim_slot);
            if taken.is_ok() || !generation.is_running() {
                if taken.is_err() {
                    self.running.fetch_add(1, Ordering::SeqCst);
                }
                break;
            }
            freed.await;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }

    async fn generate(&self, generation: &Generation, prompt: &str) {
        let switches = self.switches.lock().clone();
        let blocks = prefix_hashes(prompt, switches.block_tokens);
        let cached = self.cache.lock().use_blocks(
            &blocks,
            switches.cache_blocks,
            switches.lose_cache_event_every,
        );
        let uncached = generation.prompt_tokens - cached as u64 * switches.block_tokens;
        pause(uncached * switches.prefill_us_per_token).await;
        let mut without_reader_since = None;
        for token in 1..=generation.words.len() {
            let batch = self.running.load(Ordering::SeqCst) as u64;
            let switches = self.switches.lock().clone();
            pause(switches.step_base_us + batch * switches.step_per_request_us).await;
            if !generation.is_running() {
                return;
            }
            generation.progress.send_modify(|progress| progress.tokens = token);
            let cut = switches.truncate_after_tokens;
            if cut > 0 && token as u64 >= cut {
                return generation.end(GenerationState::Broken);
            }
            if is_abandoned(generation, &mut without_reader_since) {
                return generation.end(GenerationState::Cancelled);
            }
        }
        generation.end(GenerationState::Finished);
    }

    pub(crate) fn cancel(&self, request_id: &str) -> bool {
        let found = self.generations.lock().by_request.get(request_id).cloned();
        let Some(generation) = found else {
            return false;
        };
        generation.end(GenerationState::Cancelled);
        self.freed.notify_waiters();
        true
    }

    fn record_load(&self) {
        let load = Load {
            running_requests: self.running.load(Ordering::SeqCst),
            waiting_requests: self.waiting.load(Ordering::SeqCst),
        };
        let mut loads = self.loads.lock();
        loads.push_back((Instant::now(), load));
        if loads.len() > MAX_KEPT_LOADS {
            loads.pop_front();
        }
    }

    /// Returns the load as it was before the configured lag.
    pub(crate) fn reported_load(&self) -> Load {
        let lag = Duration::from_millis(self.switches.lock().load_lag_ms);
        let loads = self.loads.lock();
        let shown = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let idle = Load { running_requests: 0, waiting_requests: 0 };
        shown.map_or(idle, |(_, load)| *load)
    }
}

fn is_abandoned(generation: &Generation, without_reader_since: &mut Option<Instant>) -> bool {
    if generation.has_readers() {
        *without_reader_since = None;
        return false;
    }
    without_reader_since.get_or_insert_with(Instant::now).elapsed() > NO_READER_TIMEOUT
}

async fn pause(micros: u64) {
    if micros > 0 {
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }
}
