//! Who a gateway is: its host and its zone.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use stallhoist_core::ZoneName;

/// Who a gateway is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayHost {
    /// The host's name.
    pub id: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// What its link carries: the hosts with the fastest links follow the store for all.
    #[serde(default)]
    pub link: LinkRate,
}

impl Default for GatewayHost {
    /// A host on loopback, for tests.
    fn default() -> Self {
        Self {
            id: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            link: LinkRate::default(),
        }
    }
}
