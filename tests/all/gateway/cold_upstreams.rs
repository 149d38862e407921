//! Upstreams that are warming up get a limited number of requests; the others go to other upstreams, wait
//! for quota, or are rejected at once.

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

/// Requests per second that all gateways may send: nine tenths of twice 1 plus 3, rounded down.
const BOUND_PER_S: usize = 4;

/// Longest time to the rejection of a request that cannot be served.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Several upstreams, and a single gateway with a configured bound for upstreams that are warming up.
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
    wait_until("the gateway is listed", async || world.dump().await["entries"] == 1).await;
    world
}

/// Lists an upstream with a remaining warm-up time.
fn list(world: &World, upstream: usize, cold_remaining_ms: &Value) {
    let mut entry = world.upstreams[upstream].entry(PLAIN, "zone-1", "v1", "ready");
    entry["cold_remaining_ms"] = cold_remaining_ms.clone();
    world.store.put("servers", &format!("i-{upstream}"), entry);
}

/// Waits until this many upstreams count as warming up.
async fn wait_for_cold(world: &World, count: usize) {
    wait_until("the expected number of upstreams is warming up", async || {
        world.metrics().await.contains(&format!("cold_upstreams {count}\n"))
    })
    .await;
}

/// The same, and until the gateway has run for long enough to use its share.
async fn wait_for_quota(world: &World, count: usize) {
    wait_for_cold(world, count).await;
    wait_until("there is quota", async || {
        world.dump().await["upstreams"].to_string().matches("cold=Free").count() == count
    })
    .await;
}

async fn send_at_once(world: &World, name: &str, count: usize) -> Vec<u16> {
    let send_one = async |n: usize| {
        let request = world.request(Method::GET, "/safe/x", &format!("{name}-{n}"));
        send(request).await.expect("a response").status
    };
    join_all((0..count).map(send_one)).await
}

/// The most requests that an upstream received within a second.
fn busiest_second(upstream: &UpstreamStandin) -> usize {
    let times: Vec<Instant> = upstream.arrivals().iter().map(|arrival| arrival.at).collect();
    let within = |first: &Instant| {
        times.iter().filter(|at| **at >= *first && **at - *first <= Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

case!(a_cold_upstream_beside_warm_ones_gets_its_bound, async {
    let world = world(3).await;
    list(&world, 0, &json!(20_000));
    wait_for_quota(&world, 1).await;
    let statuses = send_at_once(&world, "beside", 60).await;
    assert_eq!(statuses, [200; 60]);
    let busiest = busiest_second(&world.upstreams[0]);
    assert!((1..=BOUND_PER_S).contains(&busiest), "{busiest} requests in a second");
});

case!(an_upstream_that_is_warm_again_has_no_bound, async {
    let world = world(1).await;
    list(&world, 0, &json!(20_000));
    wait_for_quota(&world, 1).await;
    list(&world, 0, &json!(0));
    wait_for_cold(&world, 0).await;
    assert_eq!(send_at_once(&world, "warm", 40).await, [200; 40]);
});

// Quota is renewed every second: some requests may wait for it, the others are rejected at once with the time
// to retry.
case!(with_all_of_a_service_cold_excess_requests_wait_or_are_rejected, async {
    let world = world(2).await;
    list(&world, 0, &json!(20_000));
    list(&world, 1, &json!(20_000));
    wait_for_quota(&world, 2).await;
    let asked = Instant::now();
    let statuses = send_at_once(&world, "all", 30).await;
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 2 * BOUND_PER_S);
    assert_eq!(statuses.iter().filter(|status| **status == 503).count(), 30 - 2 * BOUND_PER_S);
    let rejected = world.request(Method::GET, "/safe/x", "refused");
    let rejected = send(rejected).await.expect("a response");
    let retry_after: f64 = rejected.header("retry-after").parse().expect("a number of seconds");
    assert!((0.3..=1.1).contains(&retry_after), "{retry_after}");
    assert_eq!(world.runs(), 2 * BOUND_PER_S);
});

case!(a_request_waits_for_quota_that_is_free_soon, async {
    let world = world(1).await;
    list(&world, 0, &json!(20_000));
    wait_for_quota(&world, 1).await;
    send_at_once(&world, "first", BOUND_PER_S).await;
    wait_until("quota is free within the wait", async || {
        let rejected = world.request(Method::GET, "/safe/x", "next");
        send(rejected).await.expect("a response").status == 200
    })
    .await;
    let busiest = busiest_second(&world.upstreams[0]);
    assert!(busiest <= BOUND_PER_S, "{busiest} requests in a second");
});

/// For a row with this remaining warm-up time the default applies.
macro_rules! default_warm_up {
    ($name:ident, $reported:expr) => {
        case!($name, async {
            let world = world(2).await;
            list(&world, 0, &$reported);
            wait_for_quota(&world, 1).await;
            assert_eq!(send_at_once(&world, "said", 30).await, [200; 30]);
            assert!(busiest_second(&world.upstreams[0]) <= BOUND_PER_S);
        });
    };
}

default_warm_up!(without_a_reported_time, Value::Null);
default_warm_up!(with_a_negative_time, json!(-5));
default_warm_up!(with_a_string_as_time, json!("soon"));
default_warm_up!(with_a_list_as_time, json!([1, 2]));
default_warm_up!(with_a_huge_time, json!(1e300));

case!(upstreams_of_a_restored_zone_warm_up_again, async {
    let world = world(2).await;
    world.store.put("op", "evacuate/zone-1", json!({}));
    wait_until("the availability zone is emptied", async || {
        world.dump().await["emptied_zones"] == json!(["zone-1"])
    })
    .await;
    world.store.remove("op", "evacuate/zone-1");
    wait_for_quota(&world, 2).await;
    send_at_once(&world, "back", 30).await;
    assert_eq!(world.runs(), 2 * BOUND_PER_S);
});

// This gateway is not in the list, so others may use the whole bound.
case!(a_gateway_that_is_not_listed_sends_nothing_to_cold_upstreams, async {
    let mut world = world(1).await;
    list(&world, 0, &json!(20_000));
    world.gateway = start_gateway_with(GatewaySettings {
        host: stallhoist_settings::GatewayHost {
            id: "host-2".parse().expect("a valid host id"),
            ..Default::default()
        },
        cold_upstreams: Some(ColdUpstreamSettings { overage: 2.0, slack_per_s: 3.0 }),
        ..settings(&world.store)
    })
    .await;
    world.wait_until_ready().await;
    wait_for_cold(&world, 1).await;
    let asked = Instant::now();
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("a response");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!((answer.status, world.runs()), (503, 0));
});
