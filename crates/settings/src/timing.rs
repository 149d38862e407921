//! How often processes speak and how long they wait.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// How often processes speak to each other and how long they wait.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// How often each side of a connection says its status.
    pub heartbeat_ms: u64,
    /// After how long a silent peer counts as gone.
    pub peer_timeout_ms: u64,
    /// The longest pause between two tries at a connection.
    pub reconnect_max_ms: u64,
    /// How long an attempt whose connection is cut is kept going for a resume.
    pub resume_window_ms: u64,
    /// How long a stopping process goes on accepting while the balancer still
    /// sends to it.
    pub stop_lag_ms: u64,
    /// How long a stopping process waits for work in progress.
    pub stop_grace_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            peer_timeout_ms: 3_500,
            reconnect_max_ms: 2_000,
            resume_window_ms: 5_000,
            stop_lag_ms: 3_000,
            stop_grace_ms: 120_000,
        }
    }
}

impl Validate for TimingSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("heartbeat_ms", self.heartbeat_ms, 20..=60_000);
        problems.range("peer_timeout_ms", self.peer_timeout_ms, 50..=120_000);
        if self.peer_timeout_ms < 2 * self.heartbeat_ms {
            problems.add("peer_timeout_ms", "must be at least twice heartbeat_ms");
        }
        problems.range("reconnect_max_ms", self.reconnect_max_ms, 10..=60_000);
        problems.range("resume_window_ms", self.resume_window_ms, 0..=600_000);
        problems.range("stop_lag_ms", self.stop_lag_ms, 0..=120_000);
        problems.range("stop_grace_ms", self.stop_grace_ms, 100..=3_600_000);
    }
}
