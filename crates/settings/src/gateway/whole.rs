//! All settings of a gateway.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::RegionName;
use stallhoist_core::ZoneName;

use super::ColdUpstreamSettings;
use super::DecisionSettings;
use super::GatewayHost;
use super::GatewayRetrySettings;
use super::RolloutSettings;
use super::StepUpSettings;
use super::StopSettings;
use super::StoreSettings;
use super::UpstreamCallSettings;
use crate::Problems;
use crate::TimeSpan;
use crate::Validate;

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
    /// Where some other entries can be asked by one that starts while the store is away.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Where the platform's store is.
    pub store: StoreSettings,
    /// The region of each availability zone. Data with homes goes only to zones that are named here.
    #[serde(default)]
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// How upstreams are called.
    #[serde(default)]
    pub upstream: UpstreamCallSettings,
    /// When a better model is asked.
    #[serde(default)]
    pub step_up: StepUpSettings,
    /// Which mechanisms decide about models and upstreams.
    #[serde(default)]
    pub decisions: DecisionSettings,
    /// How many further attempts are made.
    #[serde(default)]
    pub retries: GatewayRetrySettings,
    /// How new versions are brought in.
    #[serde(default)]
    pub rollouts: RolloutSettings,
    /// What may come to an upstream that is cold; absent, nothing is bounded.
    #[serde(default)]
    pub cold_upstreams: Option<ColdUpstreamSettings>,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopSettings,
    /// How long a session lasts after its last request.
    #[serde(default = "default_session")]
    pub session: TimeSpan,
}

/// A year: a session that lasts for ever, for all that a process lives to see.
const MAX_SESSION: TimeSpan = TimeSpan::from_secs(365 * 86_400);

fn default_session() -> TimeSpan {
    GatewaySettings::default().session
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
            seeds: Vec::new(),
            store: StoreSettings::default(),
            regions: BTreeMap::new(),
            upstream: UpstreamCallSettings::default(),
            step_up: StepUpSettings::default(),
            decisions: DecisionSettings::default(),
            retries: GatewayRetrySettings::default(),
            rollouts: RolloutSettings::default(),
            cold_upstreams: None,
            stop: StopSettings::default(),
            session: TimeSpan::from_secs(5),
        }
    }
}

impl Validate for GatewaySettings {
    fn check(&self, problems: &mut Problems) {
        problems.address("callers_addr", &self.callers_addr);
        problems.address("readiness_addr", &self.readiness_addr);
        problems.address("operators_addr", &self.operators_addr);
        problems.address("peers_addr", &self.peers_addr);
        for seed in &self.seeds {
            problems.address("seeds", seed);
        }
        if !self.readiness_path.starts_with('/') {
            problems.add("readiness_path", "must begin with a slash");
        }
        problems.section("store", &self.store);
        problems.section("upstream", &self.upstream);
        problems.section("step_up", &self.step_up);
        problems.section("decisions", &self.decisions);
        problems.section("retries", &self.retries);
        problems.section("rollouts", &self.rollouts);
        if let Some(cold_upstreams) = &self.cold_upstreams {
            problems.section("cold_upstreams", cold_upstreams);
        }
        problems.section("stop", &self.stop);
        problems.range("session", self.session, TimeSpan::from_secs(0)..=MAX_SESSION);
    }
}
