//! Address and timeouts of the platform's store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::TimeSpan;
use crate::Validate;

/// Part of `catch_up` that is left for a repeated call and for applying the changes that it returns. It does not grow with
/// the configuration: one that takes longer to transfer is late.
const CATCH_UP_RESERVE: Duration = Duration::from_secs(1);

/// Shortest wait of a follow call, however little time there is to catch up: each call is charged.
const MIN_FOLLOW_WAIT: Duration = Duration::from_millis(100);

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
    /// Time within which changes must be known after calls to the store are answered again.
    pub catch_up: TimeSpan,
}

impl StoreSettings {
    /// Time that a follow call waits for changes if they must be known within `catch_up`: the answer to a call that
    /// began just before the store answers again may be lost.
    pub fn bounded_follow_wait(&self) -> Duration {
        let longest = self.catch_up.as_duration().saturating_sub(CATCH_UP_RESERVE);
        self.follow_wait().min(longest.max(MIN_FOLLOW_WAIT))
    }

    /// Time that any other follow call waits for changes.
    pub fn follow_wait(&self) -> Duration {
        Duration::from_millis(self.follow_wait_ms)
    }
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            addr: "127.0.0.1:1".to_owned(),
            follow_wait_ms: 3_000,
            call_timeout_ms: 1_200,
            catch_up: TimeSpan::from_millis(3_000),
        }
    }
}

impl Validate for StoreSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_address("addr", &self.addr);
        problems.check_range("follow_wait_ms", self.follow_wait_ms, 100..=30_000);
        problems.check_range("call_timeout_ms", self.call_timeout_ms, 50..=30_000);
    }
}
