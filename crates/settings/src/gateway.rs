//! A gateway's settings.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::ZoneName;

use crate::Checked;
use crate::Problems;

/// Who a gateway is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayHost {
    /// The host's name.
    pub id: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
}

impl Default for GatewayHost {
    /// A host on loopback, for tests.
    fn default() -> Self {
        Self {
            id: "host-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
        }
    }
}

/// Where the platform's store is, and how it is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub addr: String,
    /// How long a call waits for news. Shorter waits cost more calls; longer ones find
    /// out later that the store is away.
    pub follow_wait_ms: u64,
    /// The longest that any other call may take.
    pub call_timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { addr: "127.0.0.1:1".to_owned(), follow_wait_ms: 3_000, call_timeout_ms: 1_200 }
    }
}

impl Checked for StoreSettings {
    fn check(&self, problems: &mut Problems) {
        problems.address("addr", &self.addr);
        problems.range("follow_wait_ms", self.follow_wait_ms, 100..=30_000);
        problems.range("call_timeout_ms", self.call_timeout_ms, 50..=30_000);
    }
}

/// How upstreams are called.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamCallSettings {
    /// The longest that a connection may take to come up. A lost packet is sent again
    /// only after a second, so another upstream is tried before that.
    pub connect_timeout_ms: u64,
    /// How long the system of an upstream's host may be silent before the connection is
    /// taken for broken.
    pub silence_timeout_ms: u64,
}

impl Default for UpstreamCallSettings {
    fn default() -> Self {
        Self { connect_timeout_ms: 250, silence_timeout_ms: 1_500 }
    }
}

impl Checked for UpstreamCallSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("connect_timeout_ms", self.connect_timeout_ms, 10..=10_000);
        problems.range("silence_timeout_ms", self.silence_timeout_ms, 500..=60_000);
    }
}

/// When an answer of a small model is dropped and a better one asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepUpSettings {
    /// Below this opinion of its own answer: one for each priority, the most urgent
    /// first; the last holds for all that follow.
    pub below_confidence_percent: Vec<u8>,
}

impl Default for StepUpSettings {
    fn default() -> Self {
        Self { below_confidence_percent: vec![50] }
    }
}

impl Checked for StepUpSettings {
    fn check(&self, problems: &mut Problems) {
        if self.below_confidence_percent.is_empty() {
            problems.add("below_confidence_percent", "must hold at least one number");
        }
        if self.below_confidence_percent.iter().any(|percent| *percent > 100) {
            problems.add("below_confidence_percent", "each must be from 0 to 100");
        }
    }
}

/// How many further attempts are made.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayRetrySettings {
    /// The most further attempts for each request that all entries may make together.
    pub fleet_ratio: f64,
    /// What may be made besides, in the time over which the platform counts.
    pub fleet_slack: u32,
}

impl Default for GatewayRetrySettings {
    fn default() -> Self {
        Self { fleet_ratio: 0.9, fleet_slack: 50 }
    }
}

impl GatewayRetrySettings {
    /// What one entry keeps to: the same ratio, less a reserve for requests that count
    /// at one entry and were sent to another.
    pub fn budget_percent(&self) -> u32 {
        const RESERVE: f64 = 0.95;
        (self.fleet_ratio * RESERVE * 100.0).max(0.0) as u32
    }

    /// The attempts that one entry may make at once. Entries do not know how many they
    /// are; with up to six, their bursts together stay within the slack.
    pub fn burst(&self) -> u32 {
        const ENTRIES: u32 = 6;
        (self.fleet_slack / ENTRIES).max(2)
    }
}

impl Checked for GatewayRetrySettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("fleet_ratio", self.fleet_ratio, 0.0..=10.0);
        problems.range("fleet_slack", self.fleet_slack, 0..=1_000_000);
    }
}

/// How a planned stop goes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// The time from the signal to stop until the platform kills the process.
    pub grace_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 8_000 }
    }
}

impl Checked for StopSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("grace_ms", self.grace_ms, 500..=600_000);
    }
}

/// All settings of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Who the process is.
    pub host: GatewayHost,
    /// Where callers connect to.
    pub callers_addr: String,
    /// Where the platform asks whether callers should be sent here.
    pub readiness_addr: String,
    /// The path that it asks.
    pub readiness_path: String,
    /// Where metrics and the state dump are served.
    pub operators_addr: String,
    /// Where other entries ask this one for news.
    pub peers_addr: String,
    /// Where the platform's store is.
    pub store: StoreSettings,
    /// How upstreams are called.
    #[serde(default)]
    pub upstream: UpstreamCallSettings,
    /// When a better model is asked.
    #[serde(default)]
    pub step_up: StepUpSettings,
    /// How many further attempts are made.
    #[serde(default)]
    pub retries: GatewayRetrySettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopSettings,
    /// How long a session lasts after its last request.
    #[serde(default = "default_session_ms")]
    pub session_ms: u64,
}

fn default_session_ms() -> u64 {
    GatewaySettings::default().session_ms
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            host: GatewayHost::default(),
            callers_addr: "127.0.0.1:0".to_owned(),
            readiness_addr: "127.0.0.1:0".to_owned(),
            readiness_path: "/ready".to_owned(),
            operators_addr: "127.0.0.1:0".to_owned(),
            peers_addr: "127.0.0.1:0".to_owned(),
            store: StoreSettings::default(),
            upstream: UpstreamCallSettings::default(),
            step_up: StepUpSettings::default(),
            retries: GatewayRetrySettings::default(),
            stop: StopSettings::default(),
            session_ms: 5_000,
        }
    }
}

impl Checked for GatewaySettings {
    fn check(&self, problems: &mut Problems) {
        problems.address("callers_addr", &self.callers_addr);
        problems.address("readiness_addr", &self.readiness_addr);
        problems.address("operators_addr", &self.operators_addr);
        problems.address("peers_addr", &self.peers_addr);
        if !self.readiness_path.starts_with('/') {
            problems.add("readiness_path", "must begin with a slash");
        }
        problems.section("store", &self.store);
        problems.section("upstream", &self.upstream);
        problems.section("step_up", &self.step_up);
        problems.section("retries", &self.retries);
        problems.section("stop", &self.stop);
        problems.range("session_ms", self.session_ms, 0..=86_400_000);
    }
}
