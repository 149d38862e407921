//! Identity of a process, and the keys of its fleet.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::ZoneName;

use crate::Problems;
use crate::Secret;
use crate::Validate;

const MIN_KEY_BYTES: usize = 16;

/// Identity of a process, and the keys that it shares with its fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host in the platform's host list.
    pub id: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Key by which the processes of a fleet authenticate each other, at least 16 characters.
    pub fleet_key: Secret,
    /// Key that the operators' endpoints require, at least 16 characters.
    pub operators_key: Secret,
}

impl Validate for HostSettings {
    fn validate(&self, problems: &mut Problems) {
        for (key, secret) in
            [("fleet_key", &self.fleet_key), ("operators_key", &self.operators_key)]
        {
            if secret.reveal().len() < MIN_KEY_BYTES {
                problems.add(key, format!("must have at least {MIN_KEY_BYTES} characters"));
            }
        }
    }
}

impl Default for HostSettings {
    /// A host on the loopback interface, for tests and the one-process mode.
    fn default() -> Self {
        Self {
            id: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            fleet_key: Secret::new("fleet-key-for-loopback"),
            operators_key: Secret::new("operators-key-for-loopback"),
        }
    }
}
