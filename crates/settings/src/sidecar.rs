//! A sidecar's settings.

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
    /// Who the process is.
    pub host: HostSettings,
    /// Where entries connect to.
    pub entries_addr: String,
    /// Where operators connect to.
    pub operators_addr: String,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// What stands behind it.
    pub upstream: UpstreamSettings,
    /// How it admits work.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// How often it speaks and how long it waits.
    #[serde(default)]
    pub timing: TimingSettings,
    /// How it holds bill records.
    #[serde(default)]
    pub bill: BillSettings,
    /// The largest message on a connection.
    #[serde(default = "default_max_frame_bytes")]
    pub max_frame_bytes: usize,
    /// The most bytes of finished answers kept for a resume.
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
    fn check(&self, problems: &mut Problems) {
        problems.section("host", &self.host);
        problems.address("entries_addr", &self.entries_addr);
        problems.address("operators_addr", &self.operators_addr);
        problems.section("platform", &self.platform);
        problems.section("upstream", &self.upstream);
        problems.section("admission", &self.admission);
        problems.section("timing", &self.timing);
        problems.section("bill", &self.bill);
        problems.range("max_frame_bytes", self.max_frame_bytes, 65_536..=(64 << 20));
        problems.range("max_kept_answer_bytes", self.max_kept_answer_bytes, 0..=(1 << 30));
    }
}
