//! What sending a request to an upstream is expected to cost, in milliseconds.

use super::BalanceConfig;
use super::PrefillTime;

/// What is known of an upstream that may take a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct CandidateFacts {
    /// Requests in progress there.
    pub in_progress: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// The time that it still has to read prompts of other requests, in milliseconds.
    pub remaining_prefill_ms: f64,
    /// Tokens of this request's prompt that it has read before.
    pub cached_tokens: u64,
    /// Whether it is in the entry's own availability zone.
    pub is_same_zone: bool,
    /// The share of its answers that failed lately, from 0 to 1.
    pub failure_rate: f64,
}

/// What is known of the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestFacts {
    /// The length of its prompt; zero for a call to a plain service.
    pub prompt_tokens: u64,
    /// How long an engine takes to read it with the chosen model.
    pub prefill_time: PrefillTime,
    /// The bytes to be sent.
    pub body_bytes: usize,
}

/// How long the first part of the answer is expected to take.
pub fn expected_wait_ms(
    config: &BalanceConfig,
    request: &RequestFacts,
    candidate: &CandidateFacts,
) -> f64 {
    let own_ms = uncached_prefill_ms(request, candidate);
    request.prefill_time.base_ms + own_ms + other_ms(config, candidate)
}

/// How long the engine reads this request's own prompt, what it has read before left out.
pub fn uncached_prefill_ms(request: &RequestFacts, candidate: &CandidateFacts) -> f64 {
    let tokens = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
    request.prefill_time.of_tokens_ms(tokens)
}

/// The part of the expected wait that is owed to other requests.
pub fn other_ms(config: &BalanceConfig, candidate: &CandidateFacts) -> f64 {
    let sharing_ms = f64::from(candidate.in_progress) * config.per_running_ms;
    candidate.remaining_prefill_ms + sharing_ms + queue_ms(config, candidate)
}

/// The expected wait, and what the choice costs besides.
pub fn expected_cost_ms(
    config: &BalanceConfig,
    request: &RequestFacts,
    candidate: &CandidateFacts,
) -> f64 {
    let zone_ms =
        if candidate.is_same_zone { 0.0 } else { cross_zone_cost_ms(config, request.body_bytes) };
    let others_ms = config.held_up_by_reading * uncached_prefill_ms(request, candidate);
    expected_wait_ms(config, request, candidate)
        + others_ms
        + zone_ms
        + candidate.failure_rate * config.failing_ms
}

/// What sending so many bytes to another availability zone costs.
pub fn cross_zone_cost_ms(config: &BalanceConfig, body_bytes: usize) -> f64 {
    config.cross_zone_ms + config.cross_zone_ms_per_kb * body_bytes as f64 / 1_000.0
}

/// The time until a place is free, when all are taken.
fn queue_ms(config: &BalanceConfig, candidate: &CandidateFacts) -> f64 {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.in_progress + 1).saturating_sub(slots);
    f64::from(ahead) * config.service_call_ms / f64::from(slots)
}
