//! A store that is restored from a copy, in real time: `cargo bench --bench store_return`.
//!
//! Runs gateways in one process on loopback, a store, and a configuration of about 30 KB. Operators write a
//! new configuration right after the restore. Reports when it is active at all gateways, and the calls to
//! the store until then and over the next seconds, compared with an idle period of the same length.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use stallhoist_gateway::Gateway;
use stallhoist_measure::Report;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::StoreSettings;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_users_platform::PlatformDialect;
use stallhoist_users_platform::PlatformStore;

/// Long enough for gateways to drop rows that the restored store lacks, and to read it again as a whole.
const OBSERVATION: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ROUTES: usize = 150;
/// Writes after the copy. The restore loses them, so the versions of later writes are below those that
/// gateways have already seen.
const WRITES: usize = 200;

fn config(version: u64) -> Value {
    let route = |n: usize| {
        json!({
            "name": format!("route-{n}"), "host": "bench.example", "path_prefix": format!("/r{n}/"),
            "kind": "safe", "timeout_ms": 4_000, "target_latency_ms": 300, "priority": 1,
            "service": "plain", "max_attempts": 2, "auth_exempt": true,
        })
    };
    json!({
        "version": version,
        "routes": (0..ROUTES).map(route).collect::<Vec<_>>(),
        "services": [{ "name": "plain", "health_path": "/health", "max_conns": 100 }],
        "limits": {
            "max_header_bytes": 4_096, "max_body_bytes": 10_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [],
    })
}

/// Gateways that share one store.
struct Fleet {
    store: StoreStandin,
    entries: Vec<Gateway>,
    http: Client,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let start = |n: usize| {
            let mut settings = GatewaySettings {
                store: StoreSettings { addr: store.addr().to_string(), ..StoreSettings::default() },
                ..GatewaySettings::default()
            };
            settings.host.id = format!("entry-{n}").parse().expect("a name");
            let client = PlatformStore::new(&settings.store).expect("the client starts");
            Gateway::start(settings, Arc::new(PlatformDialect), Arc::new(client))
        };
        let entries = join_all((0..count).map(start)).await.into_iter();
        let entries = entries.map(|entry| entry.expect("the entry starts")).collect();
        let http = Client::builder().no_proxy().build().expect("a client");
        Self { store, entries, http }
    }

    async fn state(&self, entry: &Gateway) -> Value {
        let url = format!("http://{}/state", entry.operators_addr());
        let response = self.http.get(url).send().await.expect("the state endpoint responds");
        response.json().await.expect("the state is JSON")
    }

    async fn wait_until_all(&self, condition: impl Fn(&Value) -> bool) {
        for entry in &self.entries {
            while !condition(&self.state(entry).await) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn calls(&self) -> usize {
        self.store.calls().len()
    }

    /// Number of store calls during `period`.
    async fn calls_during(&self, period: Duration) -> usize {
        let before = self.calls();
        tokio::time::sleep(period).await;
        self.calls() - before
    }
}

async fn row(report: &mut Report, count: usize) {
    let fleet = Fleet::start(count).await;
    fleet.wait_until_all(|state| state["config_version"] == 1 && state["entries"] == count).await;
    // Excludes the calls of the fleet's start.
    tokio::time::sleep(2 * OBSERVATION).await;
    let idle_calls = fleet.calls_during(OBSERVATION).await;
    let copy = fleet.store.copy();
    for n in 0..WRITES {
        fleet.store.put("op", &format!("other/{n}"), json!({}));
    }
    fleet.store.put("op", "config", config(2));
    fleet.wait_until_all(|state| state["config_version"] == 2).await;
    let before = fleet.calls();
    let began = Instant::now();
    fleet.store.restore_from(copy);
    fleet.store.put("op", "config", config(3));
    fleet.wait_until_all(|state| state["config_version"] == 3).await;
    let active_after = began.elapsed();
    let calls_until_active = fleet.calls() - before;
    tokio::time::sleep(OBSERVATION.saturating_sub(began.elapsed())).await;
    report.row([
        count.to_string(),
        format!("{:.2}", active_after.as_secs_f64()),
        calls_until_active.to_string(),
        (fleet.calls() - before).to_string(),
        idle_calls.to_string(),
    ]);
}

#[tokio::main]
async fn main() {
    let headings = [
        "entries",
        "in force everywhere, s",
        "calls until then",
        "calls in 8 s",
        "at rest, in 8 s",
    ];
    let mut report = Report::new("store_return", &headings);
    for count in [3, 32, 103, 300] {
        row(&mut report, count).await;
    }
    report.finish();
}
