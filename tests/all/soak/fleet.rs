//! The gateways, the upstreams and the store of a run, with the proxies between them.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use stallhoist_settings::GatewayRetrySettings;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Arrival;
use stallhoist_standins::users_platform::DutyPlatformStandin;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::caller;
use super::caller::RequestRecord;
use super::duties::duty_settings;
use super::fragile;
use super::gateway_status::GatewayStatus;
use super::gateway_status::poll_readiness;
use super::operator_config::OperatorConfig;
use super::period::Period;
use super::supervisor::STOP_GRACE;
use super::supervisor::Signal;
use super::supervisor::Supervisor;
use super::upstream;
use super::upstream::Upstream;
use super::violations::Violations;
use super::zones;

/// The processes and stand-ins of a run, and the periods of the faults injected into them.
pub(super) struct Fleet {
    pub(super) store: Arc<StoreStandin>,
    pub(super) duty_platform: Arc<DutyPlatformStandin>,
    pub(super) gateways: Vec<Arc<GatewayStatus>>,
    pub(super) retries: GatewayRetrySettings,
    /// All upstreams, including those that have left.
    pub(super) upstreams: Arc<Mutex<Vec<Upstream>>>,
    /// Upstreams that some requests crash.
    pub(super) fragile: Vec<UpstreamStandin>,
    /// The number of series of such requests begun, and the tasks that send them.
    pub(super) series: usize,
    pub(super) active_series: Vec<JoinHandle<Vec<RequestRecord>>>,
    pub(super) config: OperatorConfig,
    /// When operators had emptied a zone.
    pub(super) emptied: Vec<Period>,
    /// When the store, or a gateway's connection to it, was faulty.
    pub(super) store_faults: Vec<Period>,
    /// The subset that affected one gateway's connection only, with the gateway's number.
    pub(super) store_link_faults: Vec<(usize, Period)>,
    /// When an upstream, or the connection to it, was faulty.
    pub(super) upstream_faults: Vec<Period>,
    /// The subset that affected one upstream's connection, with the upstream's number.
    pub(super) upstream_link_faults: Vec<(usize, Period)>,
    /// When a gateway's connection to the receiver of duties was faulty, with the gateway's number.
    pub(super) duty_link_faults: Vec<(usize, Period)>,
    /// The proxies between gateways and that receiver, by gateway number.
    pub(super) duty_links: Arc<Vec<FaultProxy>>,
    /// The proxies between gateways and the store, by gateway number.
    pub(super) store_links: Arc<Vec<FaultProxy>>,
    /// The tasks that end active faults.
    pub(super) recoveries: Vec<JoinHandle<()>>,
    signals: Vec<mpsc::UnboundedSender<Signal>>,
    supervisors: Vec<JoinHandle<Supervisor>>,
    readiness_polls: Vec<JoinHandle<()>>,
}

impl Fleet {
    pub(super) async fn start(
        gateways: usize,
        retries: GatewayRetrySettings,
        violations: &Violations,
    ) -> Self {
        let store = Arc::new(StoreStandin::start().await.expect("the store starts"));
        let duty_platform = DutyPlatformStandin::start().await.expect("the platform starts");
        let upstreams = upstream::start_all(&store).await;
        let fragile = fragile::start_all(&store).await;
        let mut fleet = Self {
            store,
            duty_platform: Arc::new(duty_platform),
            gateways: Vec::new(),
            retries,
            upstreams: Arc::new(Mutex::new(upstreams)),
            fragile,
            series: 0,
            active_series: Vec::new(),
            config: OperatorConfig::default(),
            emptied: Vec::new(),
            store_faults: Vec::new(),
            store_link_faults: Vec::new(),
            upstream_faults: Vec::new(),
            upstream_link_faults: Vec::new(),
            duty_link_faults: Vec::new(),
            duty_links: Arc::default(),
            store_links: Arc::default(),
            recoveries: Vec::new(),
            signals: Vec::new(),
            supervisors: Vec::new(),
            readiness_polls: Vec::new(),
        };
        fleet.reconfigure();
        fleet.start_gateways(gateways, violations).await;
        fleet
    }

    async fn start_gateways(&mut self, gateways: usize, violations: &Violations) {
        let http = caller::client();
        let (mut links, mut duty_links) = (Vec::new(), Vec::new());
        for number in 0..gateways {
            let link = FaultProxy::start(self.store.addr()).await.expect("a proxy starts");
            let duty_link = FaultProxy::start(self.duty_platform.addr()).await;
            let duty_link = duty_link.expect("a proxy starts");
            let mut settings = gateway_settings(number, &link, &duty_link);
            settings["retries"] = json!(self.retries);
            links.push(link);
            duty_links.push(duty_link);
            let violations = violations.clone();
            let start = || Supervisor::start(number, settings, violations);
            let supervisor = tokio::task::block_in_place(start);
            let polls = poll_readiness(supervisor.status(), http.clone());
            self.gateways.push(supervisor.status());
            self.readiness_polls.push(tokio::spawn(polls));
            self.supervise(supervisor);
        }
        self.store_links = Arc::new(links);
        self.duty_links = Arc::new(duty_links);
    }

    /// Calls `visit` with the id of each request that arrived at an upstream, and its arrival.
    pub(super) fn visit_arrivals(&self, mut visit: impl FnMut(&str, &Arrival)) {
        let mut visit_all = |upstream: &UpstreamStandin| {
            for arrival in upstream.arrivals() {
                visit(arrival.header("request-id"), &arrival);
            }
        };
        self.upstreams.lock().iter().for_each(|upstream| visit_all(&upstream.standin));
        self.fragile.iter().for_each(visit_all);
    }

    fn supervise(&mut self, supervisor: Supervisor) {
        let (signals, received) = mpsc::unbounded_channel();
        self.signals.push(signals);
        self.supervisors.push(tokio::spawn(supervisor.run(received)));
    }

    pub(super) fn signal(&self, gateway: usize, signal: Signal) {
        self.signals[gateway].send(signal).expect("the supervisor listens");
    }

    /// Stores the configuration under a new version, with the currently valid keys.
    pub(super) fn reconfigure(&mut self) {
        self.store.put("op", "config", self.config.next());
    }

    /// Waits until all series of fatal requests have finished. Returns their records.
    pub(super) async fn finish_series(&mut self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        for series in std::mem::take(&mut self.active_series) {
            records.extend(series.await.expect("a caller does not panic"));
        }
        records
    }

    /// Waits until all faults have ended and no process is stopping or suspended.
    pub(super) async fn settle(&mut self) {
        for recovery in std::mem::take(&mut self.recoveries) {
            recovery.await.expect("the end of a fault does not panic");
        }
        // A supervisor finishes when its signal channel is closed and its process is running.
        self.signals.clear();
        let mut ended = Vec::new();
        for supervisor in std::mem::take(&mut self.supervisors) {
            ended.push(supervisor.await.expect("a supervisor does not panic"));
        }
        for supervisor in ended {
            self.supervise(supervisor);
        }
        let upstreams = self.upstreams.lock();
        upstreams.iter().for_each(|upstream| upstream.standin.clear_queued_behaviours());
        upstream::list_all(&self.store, &upstreams);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.readiness_polls.iter().for_each(JoinHandle::abort);
        self.recoveries.iter().for_each(JoinHandle::abort);
        self.active_series.iter().for_each(JoinHandle::abort);
        self.supervisors.iter().for_each(JoinHandle::abort);
    }
}

fn gateway_settings(number: usize, store: &FaultProxy, duties: &FaultProxy) -> Value {
    json!({
        "host": { "id": format!("entry-{number}"), "zone": format!("zone-{}", number % 2) },
        "callers_addr": "127.0.0.1:0",
        "readiness_addr": "127.0.0.1:0",
        "readiness_path": "/ready",
        "operators_addr": "127.0.0.1:0",
        "peers_addr": "127.0.0.1:0",
        "store": { "addr": store.addr().to_string(), "follow_wait_ms": 1_000 },
        "cold_upstreams": zones::cold_settings(),
        "duties": duty_settings(duties),
        "stop": { "grace": format!("{} s", STOP_GRACE.as_secs_f64()) },
    })
}
