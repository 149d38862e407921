//! News between entries.

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Client;
use serde_json::Value;
use stallhoist_gateway::Gateway;
use stallhoist_standins::users_platform::StoreFault;
use stallhoist_standins::users_platform::StoreStandin;

use super::world::config;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const ENTRIES: usize = 7;

struct Fleet {
    store: StoreStandin,
    entries: Vec<Gateway>,
    http: Client,
}

impl Fleet {
    async fn start() -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let mut entries = Vec::new();
        for n in 0..ENTRIES {
            let mut settings = settings(&store);
            settings.host.id = format!("entry-{n}").parse().expect("a name");
            entries.push(start_gateway_with(settings).await);
        }
        let http = Client::builder().no_proxy().timeout(Duration::from_secs(5)).build();
        Self { store, entries, http: http.expect("a client can be made") }
    }

    async fn dumps(&self) -> Vec<Value> {
        let dump = async |entry: &Gateway| {
            let url = format!("http://{}/state", entry.operators_addr());
            let response = self.http.get(url).send().await.expect("the dump is served");
            response.json().await.expect("the dump is JSON")
        };
        join_all(self.entries.iter().map(dump)).await
    }

    /// Waits until so many entries get all their news of configurations from the store.
    async fn wait_for_asking_the_store(&self, expected: usize) {
        wait_until("the others ask them", async || {
            let dumps = self.dumps().await;
            let asks_store = |dump: &&Value| dump["news_from"]["Operators"] == "store";
            dumps.iter().filter(asks_store).count() == expected
        })
        .await;
    }

    async fn wait_for_version(&self, version: u64) {
        wait_until("the configuration is in force everywhere", async || {
            self.dumps().await.iter().all(|dump| dump["config_version"] == version)
        })
        .await;
    }
}

case!(three_entries_follow_the_store_for_all, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_asking_the_store(3).await;
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
});

case!(entries_whose_relays_are_gone_ask_the_store, async {
    let mut fleet = Fleet::start().await;
    fleet.wait_for_asking_the_store(3).await;
    let dumps = fleet.dumps().await;
    let mut relays = dumps.iter().map(|dump| dump["news_from"]["Operators"] == "store");
    fleet.entries.retain(|_| !relays.next().unwrap_or_default());
    assert_eq!(fleet.entries.len(), ENTRIES - 3);
    fleet.store.put("op", "config", config(3));
    fleet.wait_for_version(3).await;
});

// Their copies are no longer fresh, so the relays say that they have none.
case!(news_comes_after_an_outage_that_all_share, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_asking_the_store(3).await;
    fleet.store.set_fault(Some(StoreFault::Status(503)));
    fleet.store.put("op", "config", config(4));
    fleet.wait_for_asking_the_store(3).await;
    fleet.store.set_fault(None);
    fleet.wait_for_version(4).await;
});
