//! Expected cost of sending a request to an upstream, in milliseconds.

use super::BalanceConfig;
use super::GenerationTime;
use super::PrefillTime;

/// State of an upstream that is a candidate for a request.
#[derive(Debug, Clone, Copy)]
pub struct CandidateFacts {
    /// Requests in progress on it.
    pub in_progress: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Outstanding prefill time of other requests at normal speed, in milliseconds.
    pub remaining_prefill_ms: f64,
    /// Tokens of this request's prompt that are in its prefix cache.
    pub cached_tokens: u64,
    /// Whether it is in the gateway's own availability zone.
    pub is_same_zone: bool,
    /// Recent share of failed responses, from 0 to 1.
    pub failure_rate: f64,
    /// Duration of work there relative to one of normal speed.
    pub slowdown: f64,
}

impl Default for CandidateFacts {
    fn default() -> Self {
        Self {
            in_progress: 0,
            slots: 0,
            remaining_prefill_ms: 0.0,
            cached_tokens: 0,
            is_same_zone: false,
            failure_rate: 0.0,
            slowdown: 1.0,
        }
    }
}

/// What a request's stream takes after its first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedGeneration {
    /// Time between two events.
    pub time: GenerationTime,
    /// Expected number of events.
    pub events: f64,
    /// Worth of a millisecond at the end of the stream relative to one before the first chunk.
    pub weight: f64,
}

impl ExpectedGeneration {
    /// Duration at normal speed beside `others` other requests, in milliseconds.
    pub fn duration_ms(&self, others: u32) -> f64 {
        self.events * self.time.interval_ms(f64::from(others))
    }

    /// Engine time beside `others` other requests, in milliseconds.
    pub fn engine_ms(&self, others: u32) -> f64 {
        self.events * self.time.engine_ms(f64::from(others))
    }

    /// Time by which it delays `others` other requests in all, in milliseconds.
    fn delay_to_others_ms(&self, others: u32) -> f64 {
        self.events * self.time.per_request_ms * f64::from(others)
    }

    fn cost_ms(&self, others: u32) -> f64 {
        self.weight * (self.duration_ms(others) + self.delay_to_others_ms(others))
    }
}

/// Properties of the request that the cost depends on.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestFacts {
    /// Prompt length in tokens; zero for a call to a plain service.
    pub prompt_tokens: u64,
    /// Prefill time of the selected model.
    pub prefill_time: PrefillTime,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Its stream after the first event, as far as known.
    pub generation: Option<ExpectedGeneration>,
}

/// Expected time to the first chunk of the response.
pub fn expected_wait_ms(
    config: &BalanceConfig,
    request: &RequestFacts,
    candidate: &CandidateFacts,
) -> f64 {
    let own_ms = request.prefill_time.base_ms + uncached_prefill_ms(request, candidate);
    candidate.slowdown * own_ms + other_ms(config, candidate)
}

/// Prefill time of the prompt's tokens that are not in the candidate's prefix cache, at normal speed.
pub fn uncached_prefill_ms(request: &RequestFacts, candidate: &CandidateFacts) -> f64 {
    let tokens = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
    request.prefill_time.of_tokens_ms(tokens)
}

/// Share of the expected wait that is due to other requests.
pub fn other_ms(config: &BalanceConfig, candidate: &CandidateFacts) -> f64 {
    let sharing_ms = f64::from(candidate.in_progress) * config.per_running_request_ms;
    candidate.slowdown * (candidate.remaining_prefill_ms + sharing_ms + queue_ms(config, candidate))
}

/// Total cost: the expected wait, the stream after it, the delay to other requests, the availability zone and
/// the risk of failure.
pub fn expected_cost_ms(
    config: &BalanceConfig,
    request: &RequestFacts,
    candidate: &CandidateFacts,
) -> f64 {
    let zone_ms =
        if candidate.is_same_zone { 0.0 } else { cross_zone_cost_ms(config, request.body_bytes) };
    let delay_to_others_ms = config.held_up_by_reading * uncached_prefill_ms(request, candidate);
    let generation = request.generation;
    let generation_ms =
        generation.map_or(0.0, |generation| generation.cost_ms(candidate.in_progress));
    expected_wait_ms(config, request, candidate)
        + candidate.slowdown * (delay_to_others_ms + generation_ms)
        + zone_ms
        + candidate.failure_rate * config.failure_penalty_ms
}

/// Cost of sending a body of `body_bytes` to another availability zone.
pub fn cross_zone_cost_ms(config: &BalanceConfig, body_bytes: usize) -> f64 {
    config.cross_zone_ms + config.cross_zone_ms_per_kb * body_bytes as f64 / 1_000.0
}

/// Expected time until a slot becomes free, if all of them are in use.
fn queue_ms(config: &BalanceConfig, candidate: &CandidateFacts) -> f64 {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.in_progress + 1).saturating_sub(slots);
    f64::from(ahead) * config.service_call_ms / f64::from(slots)
}
