//! Host of a gateway: its name, availability zone and limits.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::ByteSize;
use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use stallhoist_core::ZoneName;

/// Host of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayHost {
    /// Name of the host.
    pub id: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Capacity of the network link: the hosts with the fastest links follow the store for all gateways.
    #[serde(default)]
    pub link: LinkRate,
    /// Memory that the process may use; the host's if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<ByteSize>,
    /// Descriptors that the process may have open; its resource limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u32>,
}

impl Default for GatewayHost {
    /// A host on the loopback interface, for tests.
    fn default() -> Self {
        Self {
            id: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            link: LinkRate::default(),
            memory: None,
            descriptors: None,
        }
    }
}
