//! Rows that name a terminated incarnation, restarted upstreams, and rows that cannot be parsed.
//!
//! Guards against stale rows after a network partition. A third of the engines had terminated during the
//! partition and restarted at their addresses; delayed reports then listed the former incarnations once more.
//! The process at such an address rejects each request for the former one at once, so that one looks idle,
//! is the best choice of every gateway, and costs each caller an attempt. Gateways that did not learn from
//! these rejections failed requests for seconds, although two thirds of the engines were free.

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::readiness;
use super::world::send;
use super::world::start_gateway;
use crate::case::case;
use crate::harness::wait_until;

/// Upstreams, and a configuration with a single attempt for requests that may run at most once.
async fn world(upstreams: usize) -> World {
    let world = World::start(PLAIN, &vec![Behaviour::answer("done"); upstreams]).await;
    let mut single_attempt = config(2);
    single_attempt["routes"][1]["max_attempts"] = json!(1);
    world.store.put("op", "config", single_attempt);
    wait_until("the configuration is active", async || {
        world.metrics().await.contains("config_version 2")
    })
    .await;
    world
}

/// The row of an upstream with some fields replaced.
fn row(upstream: &UpstreamStandin, fields: &[(&str, Value)]) -> Value {
    let mut row = upstream.entry(PLAIN, "zone-1", "v1", "ready");
    for (field, value) in fields {
        row[*field] = value.clone();
    }
    row
}

/// Waits until the lines on upstreams in the state dump meet a condition.
async fn wait_for_list(world: &World, condition: impl Fn(&str) -> bool) {
    wait_until("the list meets the condition", async || {
        condition(&world.dump().await["upstreams"].to_string())
    })
    .await;
}

/// Sends requests that may run at most once, each with a single attempt.
async fn send_once(world: &World, count: usize) {
    for n in 0..count {
        let request = world.request(Method::POST, "/once/x", &format!("once-{n}")).body("x");
        let answer = send(request).await.expect("a response");
        assert_eq!((n, answer.status), (n, 200));
    }
}

/// Number of requests that the upstreams have rejected.
fn rejected(upstreams: &[UpstreamStandin]) -> usize {
    let arrivals = upstreams.iter().flat_map(UpstreamStandin::arrivals);
    arrivals.filter(|arrival| !arrival.is_run).count()
}

/// Starts other processes, at whose addresses the list has terminated incarnations.
async fn with_former_incarnations(world: &World, count: usize) -> Vec<UpstreamStandin> {
    let mut others = Vec::new();
    for n in 0..count {
        let other = UpstreamStandin::start(&format!("i-other-{n}"), Behaviour::answer("x")).await;
        let other = other.expect("the upstream starts");
        world.store.put("servers", &format!("i-former-{n}"), row(&other, &[]));
        others.push(other);
    }
    wait_for_list(world, |list| list.matches("Listed").count() == world.upstreams.len() + count)
        .await;
    others
}

/// Beside two upstreams the list has some rows that name terminated incarnations. The process at the address
/// of each rejects at most one request, which is served by another upstream.
macro_rules! former_incarnations {
    ($name:ident, $count:expr) => {
        case!($name, async {
            let world = world(2).await;
            let others = with_former_incarnations(&world, $count).await;
            send_once(&world, 40).await;
            assert!(rejected(&others) <= $count, "{} rejected", rejected(&others));
        });
    };
}

former_incarnations!(one_former_incarnation_among_three_is_detected, 1);
former_incarnations!(former_incarnations_in_two_thirds_of_the_list_are_detected, 4);

// The address of the former incarnation has another listed upstream, so no request is needed to detect it.
case!(a_former_incarnation_whose_address_is_reused_gets_no_request, async {
    let world = world(2).await;
    let successor = UpstreamStandin::start("i-successor", Behaviour::answer("done")).await;
    let successor = successor.expect("the upstream starts");
    world.store.put("servers", "i-former", row(&successor, &[]));
    wait_for_list(&world, |list| list.contains("i-former")).await;
    world.store.put("servers", "i-successor", row(&successor, &[]));
    wait_for_list(&world, |list| list.contains("i-successor")).await;
    world.store.put("servers", "i-former", row(&successor, &[("seq", json!(7))]));
    send_once(&world, 40).await;
    assert_eq!(rejected(&[successor]), 0);
});

// An upstream without capacity rejects requests at once, and therefore looks idle.
case!(an_upstream_that_rejects_all_requests_is_avoided, async {
    let world = World::start(PLAIN, &[Behaviour::NotExecuted, Behaviour::answer("done")]).await;
    for n in 0..60 {
        let answer = send(world.request(Method::GET, "/safe/x", &format!("id-{n}"))).await;
        assert_eq!(answer.expect("a response").status, 200);
    }
    let rejected = rejected(&world.upstreams);
    assert!(rejected <= 10, "{rejected} of 60 were sent to it");
});

case!(a_later_incarnation_of_an_upstream_is_used_at_once, async {
    let world = world(1).await;
    let born = |ms: u64| row(&world.upstreams[0], &[("born", json!(ms))]);
    world.store.put("servers", "i-0", born(1_000));
    wait_for_list(&world, |list| list.contains("i-0@1000")).await;
    world.upstreams[0].then(vec![Behaviour::Misdirected; 2]);
    let rejected = send(world.request(Method::POST, "/once/x", "id-1").body("x")).await;
    assert!(rejected.is_some(), "a response");
    world.upstreams[0].clear_queued_behaviours();
    world.store.put("servers", "i-0", born(2_000));
    wait_for_list(&world, |list| list.contains("i-0@2000") && list.contains("fitness=Well")).await;
    world.store.put("servers", "i-0", born(1_000));
    send_once(&world, 5).await;
    let list = world.dump().await["upstreams"].to_string();
    assert!(!list.contains("i-0@1000"), "{list}");
});

/// A row that cannot be parsed removes its upstream; other rows are unaffected.
macro_rules! unreadable {
    ($name:ident, $write:expr) => {
        case!($name, async {
            let world = world(2).await;
            let write: fn(&World) = $write;
            write(&world);
            wait_for_list(&world, |list| !list.contains("i-0 ")).await;
            send_once(&world, 10).await;
            assert_eq!(world.upstreams[0].runs(), 0);
            let metrics = world.metrics().await;
            assert!(metrics.contains("unreadable_rows_total 1"), "{metrics}");
            world.store.put("servers", "i-0", row(&world.upstreams[0], &[]));
            wait_for_list(&world, |list| list.contains("i-0 ")).await;
        });
    };
}

fn put_other(world: &World, field: &str, value: Value) {
    world.store.put("servers", "i-0", row(&world.upstreams[0], &[(field, value)]));
}

unreadable!(an_invalid_address, |world| put_other(world, "address", json!("here")));
unreadable!(a_service_that_is_a_number, |world| put_other(world, "service", json!(7)));
unreadable!(slots_that_are_a_string, |world| put_other(world, "slots", json!("8")));
unreadable!(an_unknown_state, |world| put_other(world, "state", json!("sleeping")));
unreadable!(a_start_time_that_is_a_string, |world| put_other(world, "born", json!("today")));
unreadable!(a_missing_zone, |world| put_other(world, "zone", Value::Null));
unreadable!(an_array, |world| world.store.put("servers", "i-0", json!([1, 2])));
unreadable!(bytes_that_are_not_utf8, |world| {
    world.store.put_raw("servers", "i-0", "//79+Q==");
});
unreadable!(a_value_that_is_not_base64, |world| {
    world.store.put_raw("servers", "i-0", "{not base64}");
});

// The complete list is read although it has such rows, and rows whose keys are not valid names.
case!(a_list_with_unreadable_rows_is_read, async {
    let world = world(1).await;
    for n in 0..5 {
        world.store.put_raw("servers", &format!("i-bad-{n}"), "***");
        world.store.put("servers", &format!("no name {n}"), row(&world.upstreams[0], &[]));
    }
    let second = start_gateway(&world.store).await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client can be made");
    let addr = second.readiness_addr().to_string();
    wait_until("the gateway is ready", async || readiness(&http, &addr).await == 200).await;
});
