//! Selection of upstreams, and retries.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How an entry selects an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Number of upstreams of each target that the entry stays connected to.
    pub subset_size: usize,
    /// Number of connected upstreams that are probed for each request.
    pub probes: usize,
    /// Time that the entry waits for replies to its probes.
    pub probe_timeout_ms: u64,
    /// Number of prompt tokens in one block of the prefix cache.
    pub prefix_block_tokens: u64,
    /// Addresses of sidecars to connect to until the host list has been read for the first time, `IP:PORT`.
    pub seed_addrs: Vec<String>,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            subset_size: 24,
            probes: 3,
            probe_timeout_ms: 20,
            prefix_block_tokens: 64,
            seed_addrs: Vec::new(),
        }
    }
}

impl Validate for PlacementSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("subset_size", self.subset_size, 1..=1_000);
        problems.check_range("probes", self.probes, 1..=16);
        problems.check_range("probe_timeout_ms", self.probe_timeout_ms, 1..=5_000);
        problems.check_range("prefix_block_tokens", self.prefix_block_tokens, 1..=4_096);
        for addr in &self.seed_addrs {
            problems.check_address("seed_addrs", addr);
        }
    }
}

/// Retries of an entry, and ejection of failing upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Retries allowed for each hundred requests.
    pub budget_percent: u32,
    /// Retries allowed in a burst.
    pub burst: u32,
    /// Number of consecutive failures after which an upstream is ejected: it receives no requests for a time.
    pub eject_after_failures: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub eject_ms: u64,
    /// Maximum percentage of a target's upstreams that may be ejected at once.
    pub max_ejected_percent: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: 10,
            burst: 10,
            eject_after_failures: 5,
            eject_ms: 2_000,
            max_ejected_percent: 30,
        }
    }
}

impl Validate for RetrySettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("max_attempts", self.max_attempts, 1..=10);
        problems.check_range("budget_percent", self.budget_percent, 0..=100);
        problems.check_range("burst", self.burst, 0..=10_000);
        problems.check_range("eject_after_failures", self.eject_after_failures, 1..=1_000);
        problems.check_range("eject_ms", self.eject_ms, 10..=600_000);
        problems.check_range("max_ejected_percent", self.max_ejected_percent, 0..=90);
    }
}
