//! The stored record of a lease.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::FencingToken;
use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::StoreEra;

/// Number of bits of an epoch below the store's era.
const ERA_SHIFT: u32 = 32;

/// A process that holds a lease. A restarted process is another holder: it does not know what the earlier one
/// has sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Its host.
    pub host: HostId,
    /// The run of the process.
    pub incarnation: IncarnationId,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation)
    }
}

/// The stored record of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that acquired it last.
    pub holder: Holder,
    /// The fencing token of this holder.
    pub epoch: FencingToken,
    /// Whether the holder has given the lease up: others need not wait for its end.
    pub is_released: bool,
}

impl LeaseRecord {
    /// The record of the next holder. A store that was restored from a copy may have lost epochs, so those of each
    /// era begin above all of the eras before.
    pub fn next(previous: Option<&Self>, holder: Holder, era: StoreEra) -> Self {
        let after_previous = previous.map_or(FencingToken(1), |record| record.epoch.next());
        let first_of_era = FencingToken(era.0 << ERA_SHIFT);
        Self { holder, epoch: after_previous.max(first_of_era), is_released: false }
    }
}
