//! Running requests.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// A running request.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) started: MonoTime,
    pub(super) uncached_tokens: u64,
    /// Prompt tokens to prefill before the first token: its own and the rest of those of
    /// requests that started earlier.
    pub(super) prefill_ahead_tokens: f64,
    /// The time to the first token, as predicted at the start.
    pub(super) predicted_first: Duration,
    pub(super) expected_tokens: u64,
    pub(super) bound_tokens: u64,
    pub(super) generated_tokens: u64,
    pub(super) last_token: Option<MonoTime>,
}
