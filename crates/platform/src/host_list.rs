//! The platform's list of hosts. It lags behind what is.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::Target;
use stallhoist_core::ZoneName;

/// What a host is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// An entry host.
    Entry,
    /// A host with an upstream and a sidecar.
    Upstream,
}

/// Whether a host is about to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// Leaving: no new work for it.
    Leaving,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it is for.
    pub role: HostRole,
    /// Where its process of the system listens for others, `IP:PORT`.
    pub address: String,
    /// Whether it is about to go.
    pub state: HostState,
    /// What its upstream serves.
    #[serde(default)]
    pub serves: Vec<Target>,
}

/// The list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
