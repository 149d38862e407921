//! Configurations that are large for the links that carry them.
//!
//! Guards against gateways that decide by an outdated configuration, here two versions and more
//! than three seconds old, because a large one never arrives. The configuration had grown by 1,400
//! routes. The three relays had it after 0.8 s and sent it whole to ten pollers each, over links
//! that carry four such copies in a second. The pollers cancelled each transfer after 1.4 s,
//! whatever its progress (290,059 bytes were cancelled after 65,532 to 245,552 of them, 145 times
//! in a day), and restarted it at the next peer, then at the store, with as little time. Transfers
//! from the store were cancelled after 147,381 to 1,376,180 bytes, and it counted as lost although
//! it responded to every call. The links were saturated for six seconds without delivering a
//! configuration, and the next change, of no route at all, was sent as the same whole row on top.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::fleet::ENTRIES;
use super::fleet::Fleet;
use super::world::ENGINE;
use super::world::add_routes;
use super::world::config;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// Number of routes added at once, which make a configuration of 0.3 MB.
const ROUTES: u64 = 1_400;

/// Bandwidth of a slow link. A whole configuration takes two seconds on it, more than any call.
const SLOW_BYTES_PER_S: u32 = 150_000;

/// The configuration of the other tests with many additional routes.
fn large_config(version: u64) -> Value {
    let mut config = config(version);
    add_routes(&mut config, ROUTES);
    config
}

case!(a_large_configuration_arrives_over_a_slow_link_to_the_store, async {
    let fleet = Fleet::of(1).await;
    fleet.wait_for_version(1).await;
    fleet.store_links[0].throttle(SLOW_BYTES_PER_S);
    fleet.store.put("op", "config", large_config(2));
    fleet.wait_for_version(2).await;
});

/// Seven gateways: the pollers have slow links to the store, and all have slow links to each other.
struct SlowFleet {
    fleet: Fleet,
    peer_links: Vec<FaultProxy>,
}

impl SlowFleet {
    async fn start() -> Self {
        let fleet = Fleet::start().await;
        let mut peer_links = Vec::new();
        wait_until("all gateways are listed", async || fleet.listed() == ENTRIES).await;
        for n in 0..ENTRIES {
            let addr = fleet.peers_addr(n).parse().expect("an address");
            let link = FaultProxy::start(addr).await.expect("a proxy starts");
            let row = json!({ "peers_addr": link.addr() });
            fleet.store.pin("stallhoist-entries", &format!("entry-{n}"), row);
            peer_links.push(link);
        }
        let slow_fleet = Self { fleet, peer_links };
        slow_fleet.wait_until_polled().await;
        let dumps = slow_fleet.fleet.dumps().await;
        for (link, dump) in slow_fleet.fleet.store_links.iter().zip(&dumps) {
            if dump["news_from"]["Operators"] != "store" {
                link.throttle(SLOW_BYTES_PER_S);
            }
        }
        for link in &slow_fleet.peer_links {
            link.throttle(SLOW_BYTES_PER_S);
        }
        slow_fleet
    }

    /// Waits until three gateways follow the store, and the others poll these over the links.
    async fn wait_until_polled(&self) {
        let links: Vec<_> = self.peer_links.iter().map(|link| link.addr().to_string()).collect();
        wait_until("the others poll over the links", async || {
            let dumps = self.fleet.dumps().await;
            let sources = dumps.iter().map(|dump| dump["news_from"]["Operators"].as_str());
            let polling = sources.flatten().filter(|source| links.iter().any(|l| l == source));
            polling.count() == ENTRIES - 3
        })
        .await;
    }

    /// Bytes that gateways have received from peers so far.
    fn received_bytes(&self) -> usize {
        self.peer_links.iter().map(|link| link.passed_bytes(Direction::ToOpener)).sum()
    }
}

case!(gateways_on_slow_links_receive_a_large_configuration_from_peers, async {
    // Maximum traffic for the change of one number, to all pollers and with the state that they
    // exchange meanwhile.
    const SMALL_CHANGE_BYTES: usize = 100_000;
    let slow = SlowFleet::start().await;
    slow.fleet.store.put("op", "config", large_config(2));
    slow.fleet.wait_for_version(2).await;
    let before = slow.received_bytes();
    slow.fleet.store.put("op", "config", large_config(3));
    slow.fleet.wait_for_version(3).await;
    let took = slow.received_bytes() - before;
    assert!(took < SMALL_CHANGE_BYTES, "a small change took {took} bytes");
});

impl SlowFleet {
    /// Starts a gateway that cannot reach the store, with the first gateway as its seed.
    async fn start_without_the_store(&mut self) {
        let store_link = FaultProxy::start(self.fleet.store.addr()).await.expect("a proxy starts");
        store_link.hold(Direction::ToOpener);
        let mut starting = settings(&self.fleet.store);
        starting.host.id = format!("entry-{ENTRIES}").parse().expect("a name");
        starting.store.addr = store_link.addr().to_string();
        starting.seeds = vec![self.peer_links[0].addr().to_string()];
        self.fleet.store_links.push(store_link);
        self.fleet.entries.push(start_gateway_with(starting).await);
    }
}

// A transfer from a seed that took longer than 0.4 s was cancelled too, and the gateway never
// became ready.
case!(
    a_gateway_that_starts_while_the_store_is_silent_receives_a_large_configuration_from_a_seed,
    async {
        let mut slow = SlowFleet::start().await;
        slow.fleet.store.put("op", "config", large_config(2));
        slow.fleet.wait_for_version(2).await;
        slow.start_without_the_store().await;
        slow.fleet.wait_for_version(2).await;
    }
);

// In a fleet of 300 hosts, lists of upstreams read at startup were most of the traffic between
// gateways: each row is short, and all are much alike.
case!(a_long_list_of_upstreams_is_sent_in_few_bytes_at_startup, async {
    const UPSTREAMS: usize = 500;
    const FEW_BYTES: usize = 30_000;
    let mut slow = SlowFleet::start().await;
    let upstream = UpstreamStandin::start("i-0", Behaviour::stream(1)).await.expect("it starts");
    let entry = upstream.entry(ENGINE, "zone-1", "v1", "ready");
    let list_bytes = entry.to_string().len() * UPSTREAMS;
    assert!(list_bytes > 2 * FEW_BYTES, "the list has {list_bytes} bytes");
    for n in 0..UPSTREAMS {
        slow.fleet.store.put("servers", &format!("i-{n}"), entry.clone());
    }
    let know_all = async |fleet: &Fleet| {
        let dumps = fleet.dumps().await;
        dumps.iter().all(|dump| dump["upstreams"].as_array().is_some_and(|l| l.len() == UPSTREAMS))
    };
    wait_until("all know the upstreams", async || know_all(&slow.fleet).await).await;
    let before = slow.peer_links[0].passed_bytes(Direction::ToOpener);
    slow.start_without_the_store().await;
    wait_until("the starting gateway knows them", async || know_all(&slow.fleet).await).await;
    let took = slow.peer_links[0].passed_bytes(Direction::ToOpener) - before;
    assert!(took < FEW_BYTES, "{took} bytes for a list of {list_bytes}");
});

// Open connections fall silent for good, without a reset; new ones work.
case!(updates_arrive_in_time_while_open_connections_between_gateways_are_silent, async {
    // The bound on a configuration is 2 s.
    const BOUND: Duration = Duration::from_millis(2_000);
    let slow = SlowFleet::start().await;
    slow.peer_links.iter().for_each(FaultProxy::silence);
    slow.fleet.store.put("op", "config", config(2));
    let put = Instant::now();
    slow.fleet.wait_for_version(2).await;
    assert!(put.elapsed() < BOUND, "it took {:?}", put.elapsed());
});

case!(updates_arrive_while_open_connections_to_the_store_are_silent, async {
    let fleet = Fleet::of(3).await;
    fleet.wait_for_version(1).await;
    fleet.store_links.iter().for_each(FaultProxy::silence);
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
});
