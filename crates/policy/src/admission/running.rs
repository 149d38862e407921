//! Work that runs.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// Work that runs.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) started: MonoTime,
    pub(super) uncached_tokens: u64,
    /// Prompt tokens that the engine has to take in up to this one's first token: its
    /// own and what is left of those started before.
    pub(super) prefill_ahead_tokens: f64,
    /// The time to its first token, as predicted at its start.
    pub(super) predicted_first: Duration,
    pub(super) expected_tokens: u64,
    pub(super) bound_tokens: u64,
    pub(super) made_tokens: u64,
    pub(super) last_token: Option<MonoTime>,
}
