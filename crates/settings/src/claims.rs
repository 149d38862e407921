//! Claims and the bill.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How claims of idempotency keys are written.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// How long claims wait for others to share their write.
    pub batch_ms: u64,
    /// The most claims in one write.
    pub max_batch: usize,
    /// How long a request waits for its claim before it is given up as not run.
    pub timeout_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { batch_ms: 0, max_batch: 100, timeout_ms: 2_000 }
    }
}

impl Validate for ClaimSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("batch_ms", self.batch_ms, 0..=1_000);
        problems.range("max_batch", self.max_batch, 1..=1_000);
        problems.range("timeout_ms", self.timeout_ms, 10..=60_000);
    }
}

/// How bill records reach the ledger.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BillSettings {
    /// How often an entry writes its records to the ledger.
    pub flush_ms: u64,
    /// The most records in one write.
    pub max_batch: usize,
    /// How long an entry waits for a neighbour in another zone to hold a record.
    pub hold_timeout_ms: u64,
    /// After how long a sidecar hands an unsettled record to any entry.
    pub orphan_ms: u64,
    /// The most records a process holds; beyond it new work is refused.
    pub max_held: usize,
}

impl Default for BillSettings {
    fn default() -> Self {
        Self {
            flush_ms: 5_000,
            max_batch: 2_000,
            hold_timeout_ms: 100,
            orphan_ms: 20_000,
            max_held: 100_000,
        }
    }
}

impl Validate for BillSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("flush_ms", self.flush_ms, 10..=600_000);
        problems.range("max_batch", self.max_batch, 1..=10_000);
        problems.range("hold_timeout_ms", self.hold_timeout_ms, 1..=5_000);
        problems.range("orphan_ms", self.orphan_ms, 50..=3_600_000);
        problems.range("max_held", self.max_held, 1..=10_000_000);
    }
}
