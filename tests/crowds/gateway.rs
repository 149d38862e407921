//! A gateway's process with a store and an upstream, and the bounds that it keeps to.

use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use crate::harness::Process;
use crate::harness::gateway_settings;
use crate::harness::wait_until;
use crate::process::descriptors;
use crate::process::peak_bytes;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stallhoist-gateway");

pub(crate) const KEY: &str = "key-of-workspace-1";

/// The key of a workspace that no crowd belongs to.
pub(crate) const OTHER_KEY: &str = "key-of-workspace-2";

/// The memory of the host.
pub(crate) const MEMORY_BYTES: usize = 64_000_000;

/// The descriptors of the host.
const DESCRIPTORS: usize = 4_096;

/// The largest body that the configuration allows.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;

/// A gateway that does not answer within this time hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// One crowd plays at a time.
pub(crate) static TURN: Mutex<()> = Mutex::const_new(());

/// A gateway's process with a store and an upstream.
pub(crate) struct Gateway {
    process: Process,
    http: Client,
    descriptors: usize,
    _store: StoreStandin,
    pub(crate) upstream: UpstreamStandin,
    _turn: MutexGuard<'static, ()>,
}

impl Gateway {
    /// Starts a gateway whose upstream responds at once.
    pub(crate) async fn start() -> Self {
        Self::start_with(DESCRIPTORS).await
    }

    /// The same at a host with so many descriptors.
    pub(crate) async fn start_with(descriptors: usize) -> Self {
        let turn = TURN.lock().await;
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config());
        let upstream = UpstreamStandin::start("i-0", Behaviour::answer("done")).await;
        let upstream = upstream.expect("the upstream starts");
        store.put("servers", "i-0", upstream.entry("plain", "zone-1", "v1", "ready"));
        let mut settings = gateway_settings(store.addr());
        settings["host"]["memory"] = format!("{MEMORY_BYTES} B").into();
        settings["host"]["descriptors"] = descriptors.into();
        let process = Process::start(PROGRAM, &settings.to_string());
        let http = Client::builder().no_proxy().pool_max_idle_per_host(0).timeout(ANSWER_TIMEOUT);
        let http = http.build().expect("a client");
        let gateway = Self { process, http, descriptors, _store: store, upstream, _turn: turn };
        let url = format!("http://{}/ready", gateway.process.addr("readiness_addr"));
        wait_until("the gateway is ready", async || {
            let response = gateway.http.get(&url).send().await;
            response.is_ok_and(|response| response.status() == 200)
        })
        .await;
        gateway
    }

    /// The address for callers.
    pub(crate) fn callers_addr(&self) -> std::net::SocketAddr {
        self.process.addr("callers_addr")
    }

    pub(crate) fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Waits until the upstream has run this many requests.
    pub(crate) async fn has_run(&self, requests: usize) {
        wait_until("the requests run", async || self.upstream.runs() >= requests).await;
    }

    /// The status of the response to a request on a connection of its own; none without a response.
    pub(crate) async fn status_of(&self, body: impl Into<reqwest::Body>) -> Option<u16> {
        self.status_with(KEY, body).await
    }

    /// The same with this key.
    pub(crate) async fn status_with(
        &self,
        key: &str,
        body: impl Into<reqwest::Body>,
    ) -> Option<u16> {
        let url = format!("http://{}/safe/x", self.callers_addr());
        let request = self.http.post(url).header("Host", "test.example");
        let request = request.header("Request-Id", uuid::Uuid::new_v4().to_string());
        let response = request.bearer_auth(key).body(body).send().await.ok()?;
        let status = response.status().as_u16();
        response.bytes().await.ok().map(|_| status)
    }

    /// Checks that the process is within its host's limits and answers an ordinary request.
    pub(crate) async fn is_well(&self) {
        assert_eq!(self.status_of("an ordinary request").await, Some(200));
        let (peak, descriptors) = (peak_bytes(self.process.id()), descriptors(self.process.id()));
        println!("peak {peak} bytes, {descriptors} descriptors");
        assert!(peak <= MEMORY_BYTES, "{peak} bytes of memory were in use");
        assert!(descriptors <= self.descriptors, "{descriptors} descriptors are open");
    }
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "safe", "host": "test.example", "path_prefix": "/safe/", "kind": "safe",
            "timeout_ms": 60_000, "target_latency_ms": 300, "priority": 1, "service": "plain",
            "max_attempts": 3, "auth_exempt": false,
        }],
        "services": [{ "name": "plain", "health_path": "/health", "max_conns": 1_000 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000,
        },
        "tenants": [
            { "name": "workspace-1", "api_keys": [KEY], "priority": 1 },
            { "name": "workspace-2", "api_keys": [OTHER_KEY], "priority": 1 },
        ],
    })
}
