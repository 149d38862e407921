//! Faults that the platform's stand-in injects.

use serde::Deserialize;
use serde::Serialize;

/// Active faults of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call without effect.
    pub outage: bool,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next transactions that are applied but get a gateway timeout in place of their reply.
    pub lose_write_replies: u64,
    /// Age of the host list that is returned, in milliseconds.
    pub host_list_lag_ms: u64,
}
