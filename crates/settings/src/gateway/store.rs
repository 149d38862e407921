//! Address and timeouts of the platform's store.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Address and timeouts of the platform's store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store, `IP:PORT`.
    pub addr: String,
    /// Time that a follow call waits for changes. Shorter waits cost more calls; longer ones detect later that the
    /// store is unavailable.
    pub follow_wait_ms: u64,
    /// Timeout of all other calls.
    pub call_timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { addr: "127.0.0.1:1".to_owned(), follow_wait_ms: 3_000, call_timeout_ms: 1_200 }
    }
}

impl Validate for StoreSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_address("addr", &self.addr);
        problems.check_range("follow_wait_ms", self.follow_wait_ms, 100..=30_000);
        problems.check_range("call_timeout_ms", self.call_timeout_ms, 50..=30_000);
    }
}
