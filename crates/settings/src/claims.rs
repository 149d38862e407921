//! Settings of idempotency-key claims and of bill records.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Batching and timeout of idempotency-key claims.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Time that a claim waits for others to be written in the same batch.
    pub batch_ms: u64,
    /// Maximum number of claims in one write.
    pub max_batch: usize,
    /// Time that a request waits for its claim before it is rejected as not executed.
    pub timeout_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { batch_ms: 0, max_batch: 100, timeout_ms: 2_000 }
    }
}

impl Validate for ClaimSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("batch_ms", self.batch_ms, 0..=1_000);
        problems.check_range("max_batch", self.max_batch, 1..=1_000);
        problems.check_range("timeout_ms", self.timeout_ms, 10..=60_000);
    }
}

/// Storage of bill records and their delivery to the ledger.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BillSettings {
    /// Interval at which an entry writes its records to the ledger.
    pub flush_ms: u64,
    /// Maximum number of records in one write.
    pub max_batch: usize,
    /// Time that an entry waits until a peer in another availability zone has confirmed that it holds a record.
    pub hold_timeout_ms: u64,
    /// Age at which a sidecar hands an unsettled record to any entry.
    pub orphan_ms: u64,
    /// Maximum number of records that a process holds; beyond it new requests are rejected.
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
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("flush_ms", self.flush_ms, 10..=600_000);
        problems.check_range("max_batch", self.max_batch, 1..=10_000);
        problems.check_range("hold_timeout_ms", self.hold_timeout_ms, 1..=5_000);
        problems.check_range("orphan_ms", self.orphan_ms, 50..=3_600_000);
        problems.check_range("max_held", self.max_held, 1..=10_000_000);
    }
}
