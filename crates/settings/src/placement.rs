//! How an entry chooses an upstream and tries again.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How an entry chooses an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// How many upstreams of each target the entry stays connected to.
    pub subset_size: usize,
    /// How many of them it asks for each request.
    pub probes: usize,
    /// How long it waits for their answers.
    pub probe_timeout_ms: u64,
    /// How many tokens of a prompt one block of the prefix cache holds.
    pub prefix_block_tokens: u64,
    /// Sidecars to connect to while the host list has never been read, `IP:PORT`.
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
    fn check(&self, problems: &mut Problems) {
        problems.range("subset_size", self.subset_size, 1..=1_000);
        problems.range("probes", self.probes, 1..=16);
        problems.range("probe_timeout_ms", self.probe_timeout_ms, 1..=5_000);
        problems.range("prefix_block_tokens", self.prefix_block_tokens, 1..=4_096);
        for addr in &self.seed_addrs {
            problems.address("seed_addrs", addr);
        }
    }
}

/// How an entry tries again.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Further attempts allowed for each hundred requests.
    pub budget_percent: u32,
    /// Further attempts allowed in a burst.
    pub burst: u32,
    /// Failures in a row after which an upstream gets no work for a while.
    pub eject_after_failures: u32,
    /// The pause before an ejected upstream is tried again; doubles each time.
    pub eject_ms: u64,
    /// The most upstreams of a target that may be ejected at once, in percent.
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
    fn check(&self, problems: &mut Problems) {
        problems.range("max_attempts", self.max_attempts, 1..=10);
        problems.range("budget_percent", self.budget_percent, 0..=100);
        problems.range("burst", self.burst, 0..=10_000);
        problems.range("eject_after_failures", self.eject_after_failures, 1..=1_000);
        problems.range("eject_ms", self.eject_ms, 10..=600_000);
        problems.range("max_ejected_percent", self.max_ejected_percent, 0..=90);
    }
}
