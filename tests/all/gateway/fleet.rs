//! Several gateways of one store, in the test's own process.

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Client;
use serde_json::Value;
use stallhoist_gateway::Gateway;
use stallhoist_settings::TimeSpan;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::StoreStandin;

use super::world::KEY;
use super::world::config;
use super::world::settings;
use super::world::start_gateway_up_for;
use crate::harness::wait_until;

pub(super) const ENTRIES: usize = 7;

/// Requests in flight at once; an upstream accepts fifty from one gateway.
const AT_ONCE: usize = 20;

/// Several gateways of one store.
pub(super) struct Fleet {
    pub(super) store: StoreStandin,
    /// Links between each gateway and the store.
    pub(super) store_links: Vec<FaultProxy>,
    pub(super) entries: Vec<Gateway>,
    pub(super) http: Client,
}

impl Fleet {
    pub(super) async fn start() -> Self {
        Self::of(ENTRIES).await
    }

    pub(super) async fn of(count: usize) -> Self {
        Self::up_for(count, Duration::ZERO).await
    }

    /// Gateways that take themselves to have been running for this time.
    pub(super) async fn up_for(count: usize, uptime: Duration) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let (mut entries, mut store_links) = (Vec::new(), Vec::new());
        for n in 0..count {
            let link = FaultProxy::start(store.addr()).await.expect("a proxy starts");
            let mut settings = settings(&store);
            settings.store.addr = link.addr().to_string();
            store_links.push(link);
            // Sessions must not expire during a test.
            settings.session = TimeSpan::from_secs(60);
            settings.host.id = format!("entry-{n}").parse().expect("a name");
            entries.push(start_gateway_up_for(settings, uptime).await);
        }
        let http = Client::builder().no_proxy().timeout(Duration::from_secs(5)).build();
        Self { store, store_links, entries, http: http.expect("a client can be made") }
    }

    pub(super) async fn dumps(&self) -> Vec<Value> {
        let dump = async |entry: &Gateway| {
            let url = format!("http://{}/state", entry.operators_addr());
            let response = self.http.get(url).send().await.expect("the dump is served");
            response.json().await.expect("the dump is JSON")
        };
        join_all(self.entries.iter().map(dump)).await
    }

    /// Sends one request per session to a gateway, all of which must succeed.
    pub(super) async fn send_in_sessions(&self, entry: usize, round: &str, sessions: usize) {
        let numbers: Vec<_> = (0..sessions).collect();
        for batch in numbers.chunks(AT_ONCE) {
            let requests = batch.iter().map(|n| self.send_in_session(entry, round, *n));
            assert!(join_all(requests).await.iter().all(|status| *status == 200));
        }
    }

    /// How many gateways have listed themselves.
    pub(super) fn listed(&self) -> usize {
        let row = |n| self.store.get("stallhoist-entries", &format!("entry-{n}"));
        (0..self.entries.len()).filter(|n| row(*n).is_some()).count()
    }

    /// Waits until all gateways have listed themselves.
    pub(super) async fn wait_until_listed(&self) {
        let count = self.entries.len();
        wait_until("all gateways are listed", async || self.listed() == count).await;
    }

    /// The address at which a gateway serves its peers, as it listed itself.
    pub(super) fn peers_addr(&self, entry: usize) -> String {
        let row = self.store.get("stallhoist-entries", &format!("entry-{entry}"));
        let row = row.expect("it is listed");
        row["peers_addr"].as_str().expect("it has an address").to_owned()
    }

    /// Sends a request of a session to a gateway and returns the status.
    pub(super) async fn send_in_session(&self, entry: usize, round: &str, n: usize) -> u16 {
        let url = format!("http://{}/stream/x", self.entries[entry].callers_addr());
        let request = self.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let request = request.header("Request-Id", format!("{round}-{n}")).header("Model", "*");
        let answer = request.header("Session", session(n)).send().await.expect("an answer");
        answer.status().as_u16()
    }

    /// Waits until this many gateways read the operators' feed directly from the store.
    pub(super) async fn wait_for_direct_readers(&self, expected: usize) {
        wait_until("the expected number of gateways read the store", async || {
            let dumps = self.dumps().await;
            let reads_store = |dump: &&Value| dump["news_from"]["Operators"] == "store";
            dumps.iter().filter(reads_store).count() == expected
        })
        .await;
    }

    /// Waits until all gateways know the record of a rollout.
    pub(super) async fn wait_for_rollout_record(&self) {
        wait_until("all know the record", async || {
            let dumps = self.dumps().await;
            dumps.iter().all(|dump| dump["rollouts"].as_array().is_some_and(|list| list.len() == 1))
        })
        .await;
    }

    /// Whether all gateways know an upstream.
    pub(super) async fn knows_upstream(&self, upstream: &str) -> bool {
        let dumps = self.dumps().await;
        dumps.iter().all(|dump| dump["upstreams"].to_string().contains(upstream))
    }

    /// Waits until this many gateways know that their peers have this many requests in progress.
    pub(super) async fn wait_for_peer_work(&self, entries: usize, requests: u32) {
        let wanted = format!("told_by_others={requests} ");
        wait_until("the peers' work is known", async || {
            let dumps = self.dumps().await;
            let is_known = |dump: &&Value| dump["upstreams"].to_string().contains(&wanted);
            dumps.iter().filter(is_known).count() == entries
        })
        .await;
    }

    pub(super) async fn wait_for_version(&self, version: u64) {
        wait_until("all gateways have the configuration", async || {
            self.dumps().await.iter().all(|dump| dump["config_version"] == version)
        })
        .await;
    }
}

/// The name of a session.
pub(super) fn session(n: usize) -> String {
    format!("session-{n}")
}
