//! Upstreams that are cold: of all requests some may be sent there, and the others go elsewhere, wait
//! for a place or are refused at once.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stallhoist_settings::ColdUpstreamSettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// Four requests a second from all entries: nine tenths of twice 1 and 3, rounded down.
const BORNE: usize = 4;

/// What cannot be served is refused in less.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Upstreams, and a gateway that knows what cold ones bear and that is the only entry.
async fn world(upstreams: usize) -> World {
    let behaviours = vec![Behaviour::answer("done"); upstreams];
    let mut world = World::start(PLAIN, &behaviours).await;
    let mut cold_services = config(2);
    cold_services["services"][0]["cold_start_s"] = json!(20.0);
    cold_services["services"][0]["cold_per_s"] = json!(1.0);
    world.store.put("op", "config", cold_services);
    (0..upstreams).for_each(|n| list(&world, n, &json!(0)));
    world.store.put("stallhoist-entries", "host-1", json!({ "peers_addr": "127.0.0.1:1" }));
    let cold_upstreams = ColdUpstreamSettings { overage: 2.0, slack_per_s: 3.0 };
    world.gateway = start_gateway_with(GatewaySettings {
        cold_upstreams: Some(cold_upstreams),
        ..settings(&world.store)
    })
    .await;
    world.wait_until_ready().await;
    wait_until("it is listed", async || world.dump().await["entries"] == 1).await;
    world
}

/// An upstream says how much longer it is cold.
fn list(world: &World, upstream: usize, cold_remaining_ms: &Value) {
    let mut entry = world.upstreams[upstream].entry(PLAIN, "zone-1", "v1", "ready");
    entry["cold_remaining_ms"] = cold_remaining_ms.clone();
    world.store.put("servers", &format!("i-{upstream}"), entry);
}

/// Waits until so many are taken to be cold.
async fn wait_for_cold(world: &World, count: usize) {
    wait_until("so many are cold", async || {
        world.metrics().await.contains(&format!("cold_upstreams {count}\n"))
    })
    .await;
}

/// The same, and until the gateway is old enough to send them something.
async fn wait_for_places(world: &World, count: usize) {
    wait_for_cold(world, count).await;
    wait_until("there are places", async || {
        world.dump().await["upstreams"].to_string().matches("cold=Free").count() == count
    })
    .await;
}

async fn ask_at_once(world: &World, name: &str, count: usize) -> Vec<u16> {
    let ask = async |n: usize| {
        let request = world.request(Method::GET, "/safe/x", &format!("{name}-{n}"));
        send(request).await.expect("an answer").status
    };
    join_all((0..count).map(ask)).await
}

/// The most requests that came to an upstream within a second.
fn busiest_second(upstream: &UpstreamStandin) -> usize {
    let times: Vec<Instant> = upstream.arrivals().iter().map(|arrival| arrival.at).collect();
    let within = |first: &Instant| {
        times.iter().filter(|at| **at >= *first && **at - *first <= Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

case!(a_cold_upstream_beside_warm_ones_gets_what_it_bears, async {
    let world = world(3).await;
    list(&world, 0, &json!(20_000));
    wait_for_places(&world, 1).await;
    let statuses = ask_at_once(&world, "beside", 60).await;
    assert_eq!(statuses, [200; 60]);
    let busiest = busiest_second(&world.upstreams[0]);
    assert!((1..=BORNE).contains(&busiest), "{busiest} in a second");
});

case!(one_that_is_warm_again_is_used_in_full, async {
    let world = world(1).await;
    list(&world, 0, &json!(20_000));
    wait_for_places(&world, 1).await;
    list(&world, 0, &json!(0));
    wait_for_cold(&world, 0).await;
    assert_eq!(ask_at_once(&world, "warm", 40).await, [200; 40]);
});

// Places come every second: some wait for one, the others are told so at once.
case!(with_all_of_a_service_cold_the_rest_waits_or_is_refused, async {
    let world = world(2).await;
    list(&world, 0, &json!(20_000));
    list(&world, 1, &json!(20_000));
    wait_for_places(&world, 2).await;
    let asked = Instant::now();
    let statuses = ask_at_once(&world, "all", 30).await;
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 2 * BORNE);
    assert_eq!(statuses.iter().filter(|status| **status == 503).count(), 30 - 2 * BORNE);
    let refused = world.request(Method::GET, "/safe/x", "refused");
    let refused = send(refused).await.expect("an answer");
    let retry_after: f64 = refused.header("retry-after").parse().expect("a time to come back");
    assert!((0.3..=1.1).contains(&retry_after), "{retry_after}");
    assert_eq!(world.runs(), 2 * BORNE);
});

case!(a_place_that_is_free_soon_is_waited_for, async {
    let world = world(1).await;
    list(&world, 0, &json!(20_000));
    wait_for_places(&world, 1).await;
    ask_at_once(&world, "first", BORNE).await;
    wait_until("a place is free within the wait", async || {
        let refused = world.request(Method::GET, "/safe/x", "next");
        send(refused).await.expect("an answer").status == 200
    })
    .await;
    let busiest = busiest_second(&world.upstreams[0]);
    assert!(busiest <= BORNE, "{busiest} in a second");
});

/// An entry that says this of how long it is cold is taken to be cold from its start.
macro_rules! cold_from_its_start {
    ($name:ident, $said:expr) => {
        case!($name, async {
            let world = world(2).await;
            list(&world, 0, &$said);
            wait_for_places(&world, 1).await;
            assert_eq!(ask_at_once(&world, "said", 30).await, [200; 30]);
            assert!(busiest_second(&world.upstreams[0]) <= BORNE);
        });
    };
}

cold_from_its_start!(one_that_says_nothing, Value::Null);
cold_from_its_start!(one_that_says_a_negative_time, json!(-5));
cold_from_its_start!(one_that_says_a_word, json!("soon"));
cold_from_its_start!(one_that_says_a_list, json!([1, 2]));
cold_from_its_start!(one_that_says_a_huge_time, json!(1e300));

case!(upstreams_of_a_zone_that_is_taken_back_may_be_cold, async {
    let world = world(2).await;
    world.store.put("op", "evacuate/zone-1", json!({}));
    wait_until("the zone is emptied", async || {
        world.dump().await["emptied_zones"] == json!(["zone-1"])
    })
    .await;
    world.store.remove("op", "evacuate/zone-1");
    wait_for_places(&world, 2).await;
    ask_at_once(&world, "back", 30).await;
    assert_eq!(world.runs(), 2 * BORNE);
});

// No entry of the list says that this one is there: the others may send all that is borne.
case!(an_entry_that_is_not_listed_sends_nothing_to_cold_upstreams, async {
    let mut world = world(1).await;
    list(&world, 0, &json!(20_000));
    world.gateway = start_gateway_with(GatewaySettings {
        host: stallhoist_settings::GatewayHost {
            id: "host-2".parse().expect("a name"),
            ..Default::default()
        },
        cold_upstreams: Some(ColdUpstreamSettings { overage: 2.0, slack_per_s: 3.0 }),
        ..settings(&world.store)
    })
    .await;
    world.wait_until_ready().await;
    wait_for_cold(&world, 1).await;
    let asked = Instant::now();
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!((answer.status, world.runs()), (503, 0));
});
