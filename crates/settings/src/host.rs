//! Who the process is.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::ZoneName;

use crate::Problems;
use crate::Secret;
use crate::Validate;

const MIN_KEY_LEN: usize = 16;

/// Who the process is, and the key it shares with its fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name in the platform's host list.
    pub id: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The key that all processes of the fleet share, at least 16 characters.
    pub fleet_key: Secret,
    /// The key that operators' endpoints ask for, at least 16 characters.
    pub operators_key: Secret,
}

impl Validate for HostSettings {
    fn check(&self, problems: &mut Problems) {
        for (key, secret) in
            [("fleet_key", &self.fleet_key), ("operators_key", &self.operators_key)]
        {
            if secret.reveal().len() < MIN_KEY_LEN {
                problems.add(key, format!("must have at least {MIN_KEY_LEN} characters"));
            }
        }
    }
}

impl Default for HostSettings {
    /// A host on loopback, for tests and the one-process mode.
    fn default() -> Self {
        Self {
            id: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            fleet_key: Secret::new("fleet-key-for-loopback"),
            operators_key: Secret::new("operators-key-for-loopback"),
        }
    }
}
