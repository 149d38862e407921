//! The complete settings file of a gateway.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::RegionName;
use stallhoist_core::ZoneName;

use super::ColdUpstreamSettings;
use super::DecisionSettings;
use super::DutySettings;
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
    /// Host of the process.
    pub host: GatewayHost,
    /// Address that callers connect to, `IP:PORT`.
    pub callers_addr: String,
    /// Address of the readiness check, `IP:PORT`: the platform asks there whether callers may be sent to this gateway.
    pub readiness_addr: String,
    /// Path of the readiness check.
    pub readiness_path: String,
    /// Address of the metrics and the state dump, `IP:PORT`.
    pub operators_addr: String,
    /// Address where peers poll this gateway for updates, `IP:PORT`.
    pub peers_addr: String,
    /// Addresses of some peers, `IP:PORT`, that are polled by a gateway that starts while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Address and timeouts of the platform's store.
    pub store: StoreSettings,
    /// Region of each availability zone. Data with allowed regions goes only to zones that are named here.
    #[serde(default)]
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Timeouts of connections to upstreams.
    #[serde(default)]
    pub upstream: UpstreamCallSettings,
    /// When a better model is used.
    #[serde(default)]
    pub step_up: StepUpSettings,
    /// Switches of the mechanisms that choose models and upstreams.
    #[serde(default)]
    pub decisions: DecisionSettings,
    /// Retry budget that all gateways share.
    #[serde(default)]
    pub retries: GatewayRetrySettings,
    /// Limits on the rollout of new versions.
    #[serde(default)]
    pub rollouts: RolloutSettings,
    /// Rate limit of upstreams that are warming up; no limit if absent.
    #[serde(default)]
    pub cold_upstreams: Option<ColdUpstreamSettings>,
    /// Duties that one gateway at a time performs for the platform; none if absent.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Planned stop of the gateway.
    #[serde(default)]
    pub stop: StopSettings,
    /// Time that a session lasts after its last request.
    #[serde(default = "default_session")]
    pub session: TimeSpan,
}

/// A year, longer than any process runs: such a session never ends.
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
            duties: None,
            stop: StopSettings::default(),
            session: TimeSpan::from_secs(5),
        }
    }
}

impl Validate for GatewaySettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_address("callers_addr", &self.callers_addr);
        problems.check_address("readiness_addr", &self.readiness_addr);
        problems.check_address("operators_addr", &self.operators_addr);
        problems.check_address("peers_addr", &self.peers_addr);
        for seed in &self.seeds {
            problems.check_address("seeds", seed);
        }
        if !self.readiness_path.starts_with('/') {
            problems.add("readiness_path", "must begin with a slash");
        }
        problems.check_section("store", &self.store);
        problems.check_section("upstream", &self.upstream);
        problems.check_section("step_up", &self.step_up);
        problems.check_section("decisions", &self.decisions);
        problems.check_section("retries", &self.retries);
        problems.check_section("rollouts", &self.rollouts);
        if let Some(cold_upstreams) = &self.cold_upstreams {
            problems.check_section("cold_upstreams", cold_upstreams);
        }
        if let Some(duties) = &self.duties {
            problems.check_section("duties", duties);
        }
        problems.check_section("stop", &self.stop);
        problems.check_range("session", self.session, TimeSpan::from_secs(0)..=MAX_SESSION);
    }
}
