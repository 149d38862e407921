//! The platform's list of hosts. It lags behind the actual state.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::Target;
use stallhoist_core::ZoneName;

/// Role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// A host that runs an entry.
    Entry,
    /// A host that runs an upstream and its sidecar.
    Upstream,
}

/// Whether a host is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to be removed: it receives no new requests.
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Role of the host.
    pub role: HostRole,
    /// Address at which the host's entry or sidecar accepts connections, `IP:PORT`.
    pub address: String,
    /// Whether the host is about to be removed.
    pub state: HostState,
    /// Models and services that the host's upstream serves.
    #[serde(default)]
    pub serves: Vec<Target>,
}

/// The list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
