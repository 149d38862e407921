//! Identity of a process.

use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::ZoneName;

/// Identity that a process states in its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Host on which the process runs.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Identifier of this run of the process.
    pub incarnation: IncarnationId,
}
