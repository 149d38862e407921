//! One upstream, as it registered itself.

use std::net::SocketAddr;

use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_core::ZoneName;
use stallhoist_policy::cold::ReportedCold;

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It takes work.
    Ready,
    /// It is about to end: no new work for it.
    Draining,
}

/// One upstream, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// This start of it.
    pub start: UpstreamIncarnation,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it is called.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// Requests it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: MemberState,
    /// What it says of how much longer it is cold.
    pub cold: ReportedCold,
}
