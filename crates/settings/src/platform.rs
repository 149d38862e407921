//! Address and polling of the platform's services.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Address of the platform's services, timeout of calls to them and polling intervals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the platform, `http://IP:PORT`.
    pub url: String,
    /// Timeout of one call.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// Interval at which the host list is read.
    #[serde(default = "default_host_list_poll_ms")]
    pub host_list_poll_ms: u64,
    /// Interval at which the table's head is read, in case the mesh has not delivered a new one.
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
    fn validate(&self, problems: &mut Problems) {
        problems.check_http_url("url", &self.url);
        problems.check_range("call_timeout_ms", self.call_timeout_ms, 10..=30_000);
        problems.check_range("host_list_poll_ms", self.host_list_poll_ms, 50..=60_000);
        problems.check_range("table_poll_ms", self.table_poll_ms, 50..=60_000);
    }
}
