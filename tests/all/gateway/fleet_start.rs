//! Gateways that start together: how often they call the store.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use stallhoist_gateway::Gateway;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::StoreStandin;

use super::world::config;
use super::world::readiness;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const ENTRIES: usize = 24;

/// Each way: a response takes twice as long, more than a gateway waits for a silent host.
const SEED_DELAY: Duration = Duration::from_millis(60);

/// Each way: the seed's responses come after the others have given them up.
const LONG_SEED_DELAY: Duration = Duration::from_millis(300);

/// Gateways that start together; the seed of all has started before.
struct Start {
    store: StoreStandin,
    gateways: Vec<Gateway>,
    _seed_link: FaultProxy,
}

impl Start {
    async fn of(count: usize) -> Self {
        Self::with_seed_delay(count, Duration::ZERO).await
    }

    /// The same with a seed that is busy: all that passes between it and the others takes this time.
    async fn with_seed_delay(count: usize, delay: Duration) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let seed = start_gateway_with(numbered(&store, 0, Vec::new())).await;
        wait_until("the seed is listed", async || seed_row(&store).is_some()).await;
        let seed_addr = seed_row(&store).expect("it is listed");
        let seed_link = FaultProxy::start(seed_addr).await.expect("a proxy starts");
        seed_link.delay(delay);
        let seeds = vec![seed_link.addr().to_string()];
        let others = (1..count).map(|n| start_gateway_with(numbered(&store, n, seeds.clone())));
        let mut gateways = join_all(others).await;
        gateways.push(seed);
        Self { store, gateways, _seed_link: seed_link }
    }

    async fn wait_until_listed(&self) {
        wait_until("all gateways are listed", async || {
            self.store.table("stallhoist-entries").len() == self.gateways.len()
        })
        .await;
    }

    /// Number of calls to the store that contain `part`.
    fn calls(&self, part: &str) -> usize {
        self.store.calls().iter().filter(|call| call.contains(part)).count()
    }
}

fn numbered(store: &StoreStandin, n: usize, seeds: Vec<String>) -> GatewaySettings {
    let mut settings = settings(store);
    settings.host.id = format!("entry-{n}").parse().expect("a name");
    settings.seeds = seeds;
    settings
}

/// The address at which the seed serves its peers, once it is listed.
fn seed_row(store: &StoreStandin) -> Option<SocketAddr> {
    let row = store.get("stallhoist-entries", "entry-0")?;
    row["peers_addr"].as_str()?.parse().ok()
}

// Each gateway wrote its own row: a store that takes 200 writes a second rejected 171 of 385.
case!(gateways_that_start_together_are_listed_together, async {
    let start = Start::of(ENTRIES).await;
    start.wait_until_listed().await;
    let writes = start.calls("rows-tx");
    assert!(writes <= ENTRIES / 2, "{writes} writes for {ENTRIES} gateways");
});

// Guards against a write of its own for each gateway whose request comes while others' are written.
case!(gateways_that_start_one_after_the_other_are_listed_together, async {
    let store = StoreStandin::start().await.expect("the store starts");
    store.put("op", "config", config(1));
    let mut gateways = vec![start_gateway_with(numbered(&store, 0, Vec::new())).await];
    wait_until("the seed is listed", async || seed_row(&store).is_some()).await;
    let seeds = vec![seed_row(&store).expect("it is listed").to_string()];
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    for n in 1..ENTRIES {
        let gateway = start_gateway_with(numbered(&store, n, seeds.clone())).await;
        let readiness_addr = gateway.readiness_addr().to_string();
        wait_until("it is ready", async || readiness(&http, &readiness_addr).await == 200).await;
        gateways.push(gateway);
    }
    wait_until("all gateways are listed", async || {
        store.table("stallhoist-entries").len() == ENTRIES
    })
    .await;
    let writes = store.calls().iter().filter(|call| call.contains("rows-tx")).count();
    assert!(writes <= ENTRIES / 2, "{writes} writes for {ENTRIES} gateways");
});

// Guards against gateways that each write their own row, all at once, when the seed that lists them is slow.
case!(gateways_that_start_together_wait_for_the_list_of_a_slow_seed, async {
    let start = Start::with_seed_delay(ENTRIES, LONG_SEED_DELAY).await;
    start.wait_until_listed().await;
    let writes = start.calls("rows-tx");
    assert!(writes <= ENTRIES / 2, "{writes} writes for {ENTRIES} gateways");
});

// The seed is busy with the others. With a fixed delay of 60 ms before the store was queried as well, 154 of 385
// gateways read all feeds there.
case!(gateways_wait_for_a_busy_seed, async {
    let start = Start::with_seed_delay(ENTRIES, SEED_DELAY).await;
    start.wait_until_listed().await;
    let reads = start.calls("rows-get");
    assert!(reads <= 2 * ENTRIES, "{reads} reads for {ENTRIES} gateways");
});
