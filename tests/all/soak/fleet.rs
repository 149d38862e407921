//! The processes of a run and the proxies between them.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::caller;
use super::caller::RequestRecord;
use super::fragile;
use super::gateway_status::GatewayStatus;
use super::gateway_status::poll_readiness;
use super::operator_config::OperatorConfig;
use super::period::Period;
use super::supervisor::GRACE;
use super::supervisor::Signal;
use super::supervisor::Supervisor;
use super::upstream;
use super::upstream::Upstream;
use super::violations::Violations;
use super::zones;

/// The processes of a run and the proxies between them.
pub(super) struct Fleet {
    pub(super) store: Arc<StoreStandin>,
    pub(super) gateways: Vec<Arc<GatewayStatus>>,
    /// All upstreams, also those that have left.
    pub(super) upstreams: Arc<Mutex<Vec<Upstream>>>,
    /// Upstreams that some requests end.
    pub(super) fragile: Vec<UpstreamStandin>,
    /// How many callers have begun to send such a request, and those that still do.
    pub(super) series: usize,
    pub(super) series_under_way: Vec<JoinHandle<Vec<RequestRecord>>>,
    pub(super) config: OperatorConfig,
    /// When operators had a zone emptied.
    pub(super) emptied: Vec<Period>,
    /// When the store, or a gateway's connection to it, was faulty.
    pub(super) store_faults: Vec<Period>,
    /// Those of one gateway's connection alone, with its number.
    pub(super) store_link_faults: Vec<(usize, Period)>,
    /// When an upstream, or the connection to it, was faulty.
    pub(super) upstream_faults: Vec<Period>,
    /// Those of one upstream's connection alone, with its number.
    pub(super) upstream_link_faults: Vec<(usize, Period)>,
    /// The proxies between the gateways and the store, one for each gateway.
    pub(super) store_links: Arc<Vec<FaultProxy>>,
    /// The tasks that end the faults that have begun.
    pub(super) recoveries: Vec<JoinHandle<()>>,
    signals: Vec<mpsc::UnboundedSender<Signal>>,
    supervisors: Vec<JoinHandle<Supervisor>>,
    readiness_polls: Vec<JoinHandle<()>>,
}

impl Fleet {
    pub(super) async fn start(gateways: usize, violations: &Violations) -> Self {
        let store = Arc::new(StoreStandin::start().await.expect("the store starts"));
        let upstreams = upstream::start_all(&store).await;
        let fragile = fragile::start_all(&store).await;
        let mut fleet = Self {
            store,
            gateways: Vec::new(),
            upstreams: Arc::new(Mutex::new(upstreams)),
            fragile,
            series: 0,
            series_under_way: Vec::new(),
            config: OperatorConfig::default(),
            emptied: Vec::new(),
            store_faults: Vec::new(),
            store_link_faults: Vec::new(),
            upstream_faults: Vec::new(),
            upstream_link_faults: Vec::new(),
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
        let mut links = Vec::new();
        for number in 0..gateways {
            let link = FaultProxy::start(self.store.addr()).await.expect("a proxy starts");
            let settings = gateway_settings(number, &link);
            links.push(link);
            let violations = violations.clone();
            let start = || Supervisor::start(number, settings, violations);
            let supervisor = tokio::task::block_in_place(start);
            let polls = poll_readiness(supervisor.status(), http.clone());
            self.gateways.push(supervisor.status());
            self.readiness_polls.push(tokio::spawn(polls));
            self.supervise(supervisor);
        }
        self.store_links = Arc::new(links);
    }

    fn supervise(&mut self, supervisor: Supervisor) {
        let (signals, received) = mpsc::unbounded_channel();
        self.signals.push(signals);
        self.supervisors.push(tokio::spawn(supervisor.run(received)));
    }

    pub(super) fn signal(&self, gateway: usize, signal: Signal) {
        self.signals[gateway].send(signal).expect("the supervisor listens");
    }

    /// Stores the configuration under a new version, with the keys that are valid now.
    pub(super) fn reconfigure(&mut self) {
        self.store.put("op", "config", self.config.next());
    }

    /// Waits until no caller sends requests that end upstreams any more. Gives what they got.
    pub(super) async fn end_series(&mut self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        for series in std::mem::take(&mut self.series_under_way) {
            records.extend(series.await.expect("a caller does not panic"));
        }
        records
    }

    /// Waits until all faults have ended and no process is stopping or frozen.
    pub(super) async fn settle(&mut self) {
        for recovery in std::mem::take(&mut self.recoveries) {
            recovery.await.expect("the end of a fault does not panic");
        }
        // A supervisor ends once it can get no more signals and its process is well.
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
        self.series_under_way.iter().for_each(JoinHandle::abort);
        self.supervisors.iter().for_each(JoinHandle::abort);
    }
}

fn gateway_settings(number: usize, store: &FaultProxy) -> Value {
    json!({
        "host": { "id": format!("entry-{number}"), "zone": format!("zone-{}", number % 2) },
        "callers_addr": "127.0.0.1:0",
        "readiness_addr": "127.0.0.1:0",
        "readiness_path": "/ready",
        "operators_addr": "127.0.0.1:0",
        "peers_addr": "127.0.0.1:0",
        "store": { "addr": store.addr().to_string(), "follow_wait_ms": 1_000 },
        "cold_upstreams": zones::cold_settings(),
        "stop": { "grace": format!("{} s", GRACE.as_secs_f64()) },
    })
}
