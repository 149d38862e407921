//! A row of the list of upstreams.

use std::net::SocketAddr;

use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_core::ZoneName;
use stallhoist_policy::cold::ReportedCold;

/// The state that an upstream reports in its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It accepts requests.
    Ready,
    /// It is about to terminate and must get no new requests.
    Draining,
}

/// An upstream, as it registered itself in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its incarnation.
    pub start: UpstreamIncarnation,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// The state that it reports.
    pub state: MemberState,
    /// The remaining warm-up time that it reports.
    pub cold: ReportedCold,
}
