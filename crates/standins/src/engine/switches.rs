//! How the engine behaves.

use serde::Deserialize;
use serde::Serialize;

/// How the engine behaves. A step takes `step_base_us + batch * step_per_request_us`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// Time to take in one prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// The fixed part of a step's time.
    pub step_base_us: u64,
    /// What each request in the batch adds to a step.
    pub step_per_request_us: u64,
    /// The most requests in one batch; others wait.
    pub max_batch: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Of each hundred requests, so many fail, evenly spaced.
    pub fail_percent: u64,
    /// Streams break off after so many tokens; 0 lets them finish.
    pub truncate_after_tokens: u64,
    /// Load reports show what was this long ago.
    pub load_lag_ms: u64,
    /// Cache events are published this late.
    pub cache_event_lag_ms: u64,
    /// Every so many cache events, one is lost; 0 loses none.
    pub lose_cache_event_every: u64,
    /// Orders with an old fencing token are refused.
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
