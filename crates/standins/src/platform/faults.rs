//! What can be made to go wrong.

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong at the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused, and nothing is done.
    pub outage: bool,
    /// Every call waits this long first.
    pub delay_ms: u64,
    /// So many of the next writes take effect, and their replies are lost.
    pub lose_write_replies: u64,
    /// The host list is shown as it was this long ago.
    pub host_list_lag_ms: u64,
}
