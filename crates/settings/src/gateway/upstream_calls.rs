//! Timeouts of connections to upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Timeouts of connections to upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamCallSettings {
    /// Timeout for establishing a connection. A lost packet is retransmitted only after a second, so another upstream
    /// is tried before that.
    pub connect_timeout_ms: u64,
    /// Time that the operating system of an upstream's host may be silent before the connection counts as broken.
    pub silence_timeout_ms: u64,
}

impl Default for UpstreamCallSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 250, silence_timeout_ms: 1_500 }
    }
}

impl Validate for UpstreamCallSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("connect_timeout_ms", self.connect_timeout_ms, 10..=10_000);
        problems.check_range("silence_timeout_ms", self.silence_timeout_ms, 500..=60_000);
    }
}
