//! Where the platform is.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Where the platform's services are, and how patient to be with them.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The platform's address, `http://IP:PORT`.
    pub url: String,
    /// How long one call may take.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// How often the host list is read.
    #[serde(default = "default_host_list_poll_ms")]
    pub host_list_poll_ms: u64,
    /// How often the table's head is read as a fallback to the mesh.
    #[serde(default = "default_table_poll_ms")]
    pub table_poll_ms: u64,
}

fn default_call_timeout_ms() -> u64 {
    PlatformSettings::default().call_timeout_ms
}

fn default_host_list_poll_ms() -> u64 {
    PlatformSettings::default().host_list_poll_ms
}

fn default_table_poll_ms() -> u64 {
    PlatformSettings::default().table_poll_ms
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:7400".to_owned(),
            call_timeout_ms: 1_000,
            host_list_poll_ms: 2_000,
            table_poll_ms: 2_000,
        }
    }
}

impl Validate for PlatformSettings {
    fn check(&self, problems: &mut Problems) {
        problems.http_url("url", &self.url);
        problems.range("call_timeout_ms", self.call_timeout_ms, 10..=30_000);
        problems.range("host_list_poll_ms", self.host_list_poll_ms, 50..=60_000);
        problems.range("table_poll_ms", self.table_poll_ms, 50..=60_000);
    }
}
