//! A store, some upstreams and a gateway, in the test's own process.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::header::HeaderMap;
use serde_json::Value;
use serde_json::json;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::SimulatedSuspensions;
use stallhoist_gateway::Gateway;
use stallhoist_gateway::GatewayParts;
use stallhoist_settings::DecisionSettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::StoreSettings;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;
use stallhoist_users_platform::PlatformDialect;
use stallhoist_users_platform::PlatformStore;

use crate::harness::wait_until;

pub(crate) const ENGINE: &str = "engine";
pub(crate) const PLAIN: &str = "plain";
pub(crate) const KEY: &str = "key-of-workspace-1";
pub(super) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The routing configuration of most tests.
pub(crate) fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "test.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 4_000, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": attempts, "auth_exempt": false,
        })
    };
    let mut stream = route("stream", "streaming", ENGINE, 3);
    stream["resumable"] = json!(true);
    stream["gap_aim_ms"] = json!(1_000);
    stream["sizes"] = json!(["small", "middle", "large"]);
    let mut once_stream = route("once-stream", "streaming", ENGINE, 3);
    once_stream["resumable"] = json!(false);
    once_stream["sizes"] = json!(["small", "middle", "large"]);
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", PLAIN, 3),
            route("once", "unsafe", PLAIN, 3),
            stream,
            once_stream,
        ],
        "services": [
            { "name": PLAIN, "health_path": "/health", "max_conns": 100 },
            { "name": ENGINE, "health_path": "/health", "max_conns": 100, "engine": {
                "models": [
                    { "name": "small", "cost": 0.01 },
                    { "name": "middle", "cost": 0.1 },
                    { "name": "large", "cost": 0.2 },
                ],
            } },
        ],
        "limits": {
            "max_header_bytes": 4_096, "max_body_bytes": 10_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "workspace-1", "api_keys": [KEY], "priority": 1 }],
    })
}

/// Adds `count` routes of some 0.2 KB each to a configuration, with unrelated names, like those of
/// operators.
pub(crate) fn add_routes(config: &mut Value, count: u64) {
    let routes = config["routes"].as_array_mut().expect("a list of routes");
    for n in 0..count {
        let name = n.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut route = routes[0].clone();
        route["name"] = json!(format!("route-{name:016x}"));
        route["path_prefix"] = json!(format!("/path-{:016x}/", name.rotate_left(29)));
        routes.push(route);
    }
}

/// The response that a caller received.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body is complete.
    pub(crate) is_whole: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A store, some upstreams and a gateway.
#[derive(Debug)]
pub(super) struct World {
    pub(super) store: StoreStandin,
    pub(super) upstreams: Vec<UpstreamStandin>,
    pub(super) gateway: Gateway,
    http: reqwest::Client,
}

impl World {
    /// Starts one upstream per behaviour, all of one service, and a gateway that knows them.
    pub(super) async fn start(service: &str, behaviours: &[Behaviour]) -> Self {
        Self::start_deciding(service, behaviours, DecisionSettings::default()).await
    }

    /// The same with these decisions of the gateway.
    pub(super) async fn start_deciding(
        service: &str,
        behaviours: &[Behaviour],
        decisions: DecisionSettings,
    ) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let mut upstreams = Vec::new();
        for (n, behaviour) in behaviours.iter().enumerate() {
            let instance = format!("i-{n}");
            let upstream = UpstreamStandin::start(&instance, behaviour.clone()).await;
            let upstream = upstream.expect("the upstream starts");
            store.put("servers", &instance, upstream.entry(service, "zone-1", "v1", "ready"));
            upstreams.push(upstream);
        }
        let gateway = start_gateway_with(GatewaySettings { decisions, ..settings(&store) }).await;
        let http = reqwest::Client::builder().no_proxy().timeout(WAIT_LIMIT).build();
        let world = Self { store, upstreams, gateway, http: http.expect("a client can be made") };
        world.wait_until_ready().await;
        world
    }

    /// Ends the gateway as a kill does, and starts another at the same host.
    pub(super) async fn restart_gateway(&mut self) {
        self.gateway = start_gateway(&self.store).await;
        self.wait_until_ready().await;
    }

    pub(super) async fn wait_until_ready(&self) {
        wait_until("the gateway is ready", async || self.readiness().await == 200).await;
    }

    /// The status of the readiness endpoint.
    pub(super) async fn readiness(&self) -> u16 {
        readiness(&self.http, &self.gateway.readiness_addr().to_string()).await
    }

    /// A request of a caller that waits 4 s; headers can still be added.
    pub(super) fn request(&self, method: Method, path: &str, id: &str) -> RequestBuilder {
        self.request_within(method, path, id, 4_000)
    }

    /// The same with a deadline.
    pub(super) fn request_within(
        &self,
        method: Method,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", self.gateway.callers_addr());
        let request = self.http.request(method, url);
        request
            .header("Host", "test.example")
            .header("Request-Id", id)
            .header("Deadline-Ms", deadline_ms)
            .bearer_auth(KEY)
    }

    /// A request for a model of the system's choice.
    pub(super) fn stream(&self, id: &str) -> RequestBuilder {
        self.stream_within(id, 4_000)
    }

    /// The same with a deadline.
    pub(super) fn stream_within(&self, id: &str, deadline_ms: u64) -> RequestBuilder {
        self.request_within(Method::POST, "/stream/x", id, deadline_ms)
            .header("Model", "*")
            .header("Token-Usage", "100,20")
            .header("Prompt-Prefix", "a1:60,b2:40")
            .body("a prompt")
    }

    /// The same on the route whose streams may not be resumed.
    pub(super) fn once_stream_within(&self, id: &str, deadline_ms: u64) -> RequestBuilder {
        self.request_within(Method::POST, "/once-stream/x", id, deadline_ms).body("a prompt")
    }

    /// Number of requests that the upstreams ran.
    pub(super) fn runs(&self) -> usize {
        self.upstreams.iter().map(UpstreamStandin::runs).sum()
    }

    /// Waits until one of two upstreams runs the only request. Returns its index, and that of the other.
    pub(super) async fn wait_for_only_run(&self) -> (usize, usize) {
        wait_until("the request runs", async || self.runs() == 1).await;
        if self.upstreams[0].runs() == 1 { (0, 1) } else { (1, 0) }
    }

    /// The state dump.
    pub(super) async fn dump(&self) -> Value {
        let url = format!("http://{}/state", self.gateway.operators_addr());
        let response = self.http.get(url).send().await.expect("the dump is served");
        response.json().await.expect("the dump is JSON")
    }

    /// The metrics page.
    pub(super) async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.gateway.operators_addr());
        let response = self.http.get(url).send().await.expect("metrics are served");
        response.text().await.expect("metrics are text")
    }
}

/// The settings of a gateway on loopback that follows `store`.
pub(super) fn settings(store: &StoreStandin) -> GatewaySettings {
    GatewaySettings {
        store: StoreSettings {
            addr: store.addr().to_string(),
            follow_wait_ms: 500,
            call_timeout_ms: 500,
            ..StoreSettings::default()
        },
        ..GatewaySettings::default()
    }
}

pub(super) async fn start_gateway(store: &StoreStandin) -> Gateway {
    start_gateway_with(settings(store)).await
}

pub(super) async fn start_gateway_with(settings: GatewaySettings) -> Gateway {
    start_gateway_up_for(settings, Duration::ZERO).await
}

/// Starts a gateway that takes itself to have been running for this time.
pub(super) async fn start_gateway_up_for(settings: GatewaySettings, uptime: Duration) -> Gateway {
    let client = PlatformStore::new(&settings.store).expect("the client starts");
    let suspensions = SimulatedSuspensions::default();
    let clock = ProcessClock::start_with(suspensions.clone());
    suspensions.add(uptime);
    let parts = GatewayParts::new(Arc::new(PlatformDialect), Arc::new(client));
    let parts = GatewayParts { clock, ..parts };
    Gateway::start_with(settings, parts).await.expect("the gateway starts")
}

pub(crate) async fn readiness(http: &reqwest::Client, addr: &str) -> u16 {
    let response = http.get(format!("http://{addr}/ready")).send().await;
    response.map_or(0, |response| response.status().as_u16())
}

/// Sends a request and reads the response, even if it is cut off. `None` without any response.
pub(crate) async fn send(request: RequestBuilder) -> Option<Answer> {
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = String::new();
    let mut is_whole = true;
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => body.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => {
                // Dropping the rest closes the connection, as a caller that leaves does.
                is_whole = false;
                break;
            }
        }
    }
    Some(Answer { status, headers, body, is_whole })
}

/// The events of a stream, as the stand-ins number them.
pub(crate) fn events(from: u64, to: u64) -> String {
    (from..=to).map(|n| format!("id: {n}\ndata: event {n}\n\n")).collect()
}
