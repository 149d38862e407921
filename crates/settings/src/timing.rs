//! Heartbeats, timeouts and grace periods.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Heartbeats, timeouts and grace periods of the connections between processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Interval at which each side of a connection sends its status.
    pub heartbeat_ms: u64,
    /// Silence after which a peer counts as disconnected.
    pub peer_timeout_ms: u64,
    /// Maximum delay between two attempts to connect.
    pub reconnect_max_ms: u64,
    /// Time that an attempt continues for a resume after its connection was lost.
    pub resume_window_ms: u64,
    /// Time that a stopping process continues to accept requests, as the load balancer still sends them.
    pub stop_lag_ms: u64,
    /// Time that a stopping process waits for requests in progress.
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
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("heartbeat_ms", self.heartbeat_ms, 20..=60_000);
        problems.check_range("peer_timeout_ms", self.peer_timeout_ms, 50..=120_000);
        if self.peer_timeout_ms < 2 * self.heartbeat_ms {
            problems.add("peer_timeout_ms", "must be at least twice heartbeat_ms");
        }
        problems.check_range("reconnect_max_ms", self.reconnect_max_ms, 10..=60_000);
        problems.check_range("resume_window_ms", self.resume_window_ms, 0..=600_000);
        problems.check_range("stop_lag_ms", self.stop_lag_ms, 0..=120_000);
        problems.check_range("stop_grace_ms", self.stop_grace_ms, 100..=3_600_000);
    }
}
