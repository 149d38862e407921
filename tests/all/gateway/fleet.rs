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
use super::world::start_gateway_with;
use crate::harness::wait_until;

pub(super) const ENTRIES: usize = 7;

/// Requests that are sent at once: an upstream takes fifty from an entry.
const AT_ONCE: usize = 20;

/// Several gateways of one store.
pub(super) struct Fleet {
    pub(super) store: StoreStandin,
    /// Between each entry and the store.
    pub(super) store_links: Vec<FaultProxy>,
    pub(super) entries: Vec<Gateway>,
    pub(super) http: Client,
}

impl Fleet {
    pub(super) async fn start() -> Self {
        Self::of(ENTRIES).await
    }

    pub(super) async fn of(count: usize) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let (mut entries, mut store_links) = (Vec::new(), Vec::new());
        for n in 0..count {
            let link = FaultProxy::start(store.addr()).await.expect("a proxy starts");
            let mut settings = settings(&store);
            settings.store.addr = link.addr().to_string();
            store_links.push(link);
            // The test is not to be faster than a session lasts.
            settings.session = TimeSpan::from_secs(60);
            settings.host.id = format!("entry-{n}").parse().expect("a name");
            entries.push(start_gateway_with(settings).await);
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

    /// A request of each session to one entry, all of which are served.
    pub(super) async fn send_in_sessions(&self, entry: usize, round: &str, sessions: usize) {
        let numbers: Vec<_> = (0..sessions).collect();
        for some in numbers.chunks(AT_ONCE) {
            let asked = some.iter().map(|n| self.send_in_session(entry, round, *n));
            assert!(join_all(asked).await.iter().all(|status| *status == 200));
        }
    }

    /// How many entries have listed themselves.
    pub(super) fn listed(&self) -> usize {
        let row = |n| self.store.get("stallhoist-entries", &format!("entry-{n}"));
        (0..self.entries.len()).filter(|n| row(*n).is_some()).count()
    }

    /// Waits until all entries have listed themselves.
    pub(super) async fn wait_until_listed(&self) {
        let count = self.entries.len();
        wait_until("all entries are listed", async || self.listed() == count).await;
    }

    /// Where an entry is asked for news, as it listed itself.
    pub(super) fn peers_addr(&self, entry: usize) -> String {
        let row = self.store.get("stallhoist-entries", &format!("entry-{entry}"));
        let row = row.expect("it is listed");
        row["peers_addr"].as_str().expect("it has an address").to_owned()
    }

    /// A request of a session to one entry; gives its status.
    pub(super) async fn send_in_session(&self, entry: usize, round: &str, n: usize) -> u16 {
        let url = format!("http://{}/stream/x", self.entries[entry].callers_addr());
        let request = self.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let request = request.header("Request-Id", format!("{round}-{n}")).header("Model", "*");
        let answer = request.header("Session", session(n)).send().await.expect("an answer");
        answer.status().as_u16()
    }

    /// Waits until so many entries get all their news of configurations from the store.
    pub(super) async fn wait_for_direct_readers(&self, expected: usize) {
        wait_until("the others ask them", async || {
            let dumps = self.dumps().await;
            let asks_store = |dump: &&Value| dump["news_from"]["Operators"] == "store";
            dumps.iter().filter(asks_store).count() == expected
        })
        .await;
    }

    /// Waits until all entries know the record of a roll-out.
    pub(super) async fn wait_for_rollout_record(&self) {
        wait_until("all know the record", async || {
            let dumps = self.dumps().await;
            dumps.iter().all(|dump| dump["rollouts"].as_array().is_some_and(|list| list.len() == 1))
        })
        .await;
    }

    /// Whether all entries know an upstream.
    pub(super) async fn knows_upstream(&self, upstream: &str) -> bool {
        let dumps = self.dumps().await;
        dumps.iter().all(|dump| dump["upstreams"].to_string().contains(upstream))
    }

    /// Waits until so many entries were told that others have so many requests in progress.
    pub(super) async fn wait_for_peer_work(&self, entries: usize, requests: u32) {
        let wanted = format!("told_by_others={requests} ");
        wait_until("others' work is told", async || {
            let dumps = self.dumps().await;
            let is_told = |dump: &&Value| dump["upstreams"].to_string().contains(&wanted);
            dumps.iter().filter(is_told).count() == entries
        })
        .await;
    }

    pub(super) async fn wait_for_version(&self, version: u64) {
        wait_until("the configuration is in force everywhere", async || {
            self.dumps().await.iter().all(|dump| dump["config_version"] == version)
        })
        .await;
    }
}

/// The name of a session.
pub(super) fn session(n: usize) -> String {
    format!("session-{n}")
}
