//! Duties that one gateway at a time performs for the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::TimeSpan;
use crate::Validate;

/// A shorter lease is over before a slow store has confirmed it.
const MIN_LEASE: TimeSpan = TimeSpan::from_millis(500);

/// Shorter windows are rejected as mistakes: each is a write to the store and a call to the platform.
const MIN_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// An hour, longer than any of these times is useful.
const MAX_TIME: TimeSpan = TimeSpan::from_secs(3_600);

/// Duties that one gateway at a time performs for the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DutySettings {
    /// Address at which the platform accepts the calls of duties, `IP:PORT`.
    pub addr: String,
    /// How long a holder may act after it has renewed its lease, and how long others wait before they take it over.
    pub lease: TimeSpan,
    /// Length of the windows of the wall clock for which usage is reported.
    pub usage_window: TimeSpan,
    /// Time after the end of a window within which its report is due.
    pub usage_due_after: TimeSpan,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self {
            addr: "127.0.0.1:1".to_owned(),
            lease: TimeSpan::from_secs(3),
            usage_window: TimeSpan::from_secs(5),
            usage_due_after: TimeSpan::from_secs(10),
        }
    }
}

impl Validate for DutySettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_address("addr", &self.addr);
        problems.check_range("lease", self.lease, MIN_LEASE..=MAX_TIME);
        problems.check_range("usage_window", self.usage_window, MIN_WINDOW..=MAX_TIME);
        problems.check_range("usage_due_after", self.usage_due_after, MIN_WINDOW..=MAX_TIME);
    }
}
