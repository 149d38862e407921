//! Settings of the engine's stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Timing, capacity and faults of the engine. A step takes `step_base_us + batch * step_per_request_us`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// Prefill time of one uncached prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// Fixed time of a step, in microseconds.
    pub step_base_us: u64,
    /// Additional time of a step for each request in the batch, in microseconds.
    pub step_per_request_us: u64,
    /// Largest batch; further requests are queued.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Tokens in a cache block.
    pub block_tokens: u64,
    /// Percentage of requests that fail, evenly spaced.
    pub fail_percent: u64,
    /// Number of tokens after which a generation breaks; 0 for never.
    pub truncate_after_tokens: u64,
    /// Age of the load in load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// One in this many cache events is dropped; 0 drops none.
    pub lose_cache_event_every: u64,
    /// Whether orders with an old fencing token are rejected.
    pub checks_fencing: bool,
}

impl Default for EngineSwitches {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 0,
            step_base_us: 200,
            step_per_request_us: 10,
            max_batch: 256,
            cache_blocks: 4_096,
            block_tokens: 64,
            fail_percent: 0,
            truncate_after_tokens: 0,
            load_lag_ms: 500,
            cache_event_lag_ms: 200,
            lose_cache_event_every: 0,
            checks_fencing: true,
        }
    }
}
