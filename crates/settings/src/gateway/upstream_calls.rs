//! How upstreams are called.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How upstreams are called.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamCallSettings {
    /// The longest that a connection may take to come up. A lost packet is sent again
    /// only after a second, so another upstream is tried before that.
    pub connect_timeout_ms: u64,
    /// How long the system of an upstream's host may be silent before the connection is
    /// taken for broken.
    pub silence_timeout_ms: u64,
}

impl Default for UpstreamCallSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 250, silence_timeout_ms: 1_500 }
    }
}

impl Validate for UpstreamCallSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("connect_timeout_ms", self.connect_timeout_ms, 10..=10_000);
        problems.range("silence_timeout_ms", self.silence_timeout_ms, 500..=60_000);
    }
}
