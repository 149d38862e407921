//! Who a process says it is.

use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::ZoneName;

/// Who a process says it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The host it runs on.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// Which life of the process this is.
    pub incarnation: IncarnationId,
}
