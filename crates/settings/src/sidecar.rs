//! Settings of a sidecar.

use serde::Deserialize;
use serde::Serialize;

use crate::AdmissionSettings;
use crate::BillSettings;
use crate::HostSettings;
use crate::PlatformSettings;
use crate::Problems;
use crate::TimingSettings;
use crate::UpstreamSettings;
use crate::Validate;

/// All settings of a sidecar.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Identity of the process.
    pub host: HostSettings,
    /// Address that gateways connect to, `IP:PORT`.
    pub entries_addr: String,
    /// Address of the operators' endpoints, `IP:PORT`.
    pub operators_addr: String,
    /// Address and polling of the platform's services.
    pub platform: PlatformSettings,
    /// The upstream that the sidecar serves.
    pub upstream: UpstreamSettings,
    /// Limits of admission to the upstream.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Heartbeat interval, timeouts and grace periods.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Storage and delivery of bill records.
    #[serde(default)]
    pub bill: BillSettings,
    /// Maximum size of a message on a connection.
    #[serde(default = "default_max_frame_bytes")]
    pub max_frame_bytes: usize,
    /// Maximum size of all finished responses that are kept for a resume.
    #[serde(default = "default_max_kept_answer_bytes")]
    pub max_kept_answer_bytes: usize,
}

fn default_max_frame_bytes() -> usize {
    SidecarSettings::default().max_frame_bytes
}

fn default_max_kept_answer_bytes() -> usize {
    SidecarSettings::default().max_kept_answer_bytes
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            host: HostSettings::default(),
            entries_addr: "127.0.0.1:0".to_owned(),
            operators_addr: "127.0.0.1:0".to_owned(),
            platform: PlatformSettings::default(),
            upstream: UpstreamSettings::default(),
            admission: AdmissionSettings::default(),
            timing: TimingSettings::default(),
            bill: BillSettings::default(),
            max_frame_bytes: 8 << 20,
            max_kept_answer_bytes: 16 << 20,
        }
    }
}

impl Validate for SidecarSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_section("host", &self.host);
        problems.check_address("entries_addr", &self.entries_addr);
        problems.check_address("operators_addr", &self.operators_addr);
        problems.check_section("platform", &self.platform);
        problems.check_section("upstream", &self.upstream);
        problems.check_section("admission", &self.admission);
        problems.check_section("timing", &self.timing);
        problems.check_section("bill", &self.bill);
        problems.check_range("max_frame_bytes", self.max_frame_bytes, 65_536..=(64 << 20));
        problems.check_range("max_kept_answer_bytes", self.max_kept_answer_bytes, 0..=(1 << 30));
    }
}
