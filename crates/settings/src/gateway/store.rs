//! Where the platform's store is, and how it is asked.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Where the platform's store is, and how it is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub addr: String,
    /// How long a call waits for news. Shorter waits cost more calls; longer ones find
    /// out later that the store is away.
    pub follow_wait_ms: u64,
    /// The longest that any other call may take.
    pub call_timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { addr: "127.0.0.1:1".to_owned(), follow_wait_ms: 3_000, call_timeout_ms: 1_200 }
    }
}

impl Validate for StoreSettings {
    fn check(&self, problems: &mut Problems) {
        problems.address("addr", &self.addr);
        problems.range("follow_wait_ms", self.follow_wait_ms, 100..=30_000);
        problems.range("call_timeout_ms", self.call_timeout_ms, 50..=30_000);
    }
}
