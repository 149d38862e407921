//! Requests that wait at the gateway for room at the upstreams.
//!
//! One upstream with a single slot, as it says in the list of upstreams. Without waiting, all requests are sent to
//! it at once.

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Method;
use serde_json::json;
use stallhoist_gateway::Gateway;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::TimeSpan;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// How long the upstream works on a request.
const WORK: Duration = Duration::from_millis(400);

/// How long it works on a request of a burst.
const SHORT_WORK: Duration = Duration::from_millis(5);

const BURSTS: usize = 40;
const BURST_REQUESTS: usize = 4;

fn slow() -> Behaviour {
    Behaviour::Answer { body: "done".to_owned(), after: WORK }
}

fn waiting_settings(store: &StoreStandin) -> GatewaySettings {
    let mut settings = settings(store);
    settings.decisions.waits_for_room = true;
    settings
}

/// A world with one upstream of one slot, and targets of 3 s (`/safe/`) and 1 s (`/once/`).
async fn one_slot() -> World {
    let mut world = World::start(PLAIN, &[slow()]).await;
    world.gateway = start_gateway_with(waiting_settings(&world.store)).await;
    let mut config = config(2);
    config["routes"][0]["target_latency_ms"] = json!(3_000);
    config["routes"][1]["target_latency_ms"] = json!(1_000);
    world.store.put("op", "config", config);
    let mut entry = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
    entry["slots"] = json!(1);
    entry["seq"] = json!(2);
    world.store.put("servers", "i-0", entry);
    wait_until("the gateway knows of the single slot", async || {
        let dump = world.dump().await;
        dump["config_version"] == 2 && dump["upstreams"].to_string().contains(" slots=1 ")
    })
    .await;
    world
}

async fn waiting(world: &World) -> u64 {
    world.dump().await["waiting"].as_u64().expect("a number")
}

/// Sends a request and waits until `expected` requests wait at the gateway.
async fn send_waiting(
    world: &World,
    path: &str,
    id: &str,
    expected: u64,
) -> tokio::task::JoinHandle<Option<super::world::Answer>> {
    let request = world.request(Method::GET, path, id);
    let sent = tokio::spawn(send(request));
    wait_until("the request waits", async || waiting(world).await == expected).await;
    sent
}

/// Sends a request that occupies the slot.
async fn occupy(
    world: &World,
    path: &str,
) -> tokio::task::JoinHandle<Option<super::world::Answer>> {
    let request = world.request(Method::GET, path, "id-0");
    let sent = tokio::spawn(send(request));
    wait_until("the slot is taken", async || arrivals(&world.upstreams[0]).len() == 1).await;
    sent
}

/// The ids of the requests that reached an upstream, in order.
fn arrivals(upstream: &UpstreamStandin) -> Vec<String> {
    let arrivals = upstream.arrivals();
    arrivals.iter().map(|arrival| arrival.header("request-id").to_owned()).collect()
}

case!(turns_come_in_due_order_one_at_a_time, async {
    let world = one_slot().await;
    let mut sent = vec![occupy(&world, "/safe/x").await];
    sent.push(send_waiting(&world, "/safe/x", "id-1", 1).await);
    sent.push(send_waiting(&world, "/once/x", "id-2", 2).await);
    for sent in sent {
        assert_eq!(sent.await.expect("no panic").expect("an answer").status, 200);
    }
    assert_eq!(arrivals(&world.upstreams[0]), ["id-0", "id-2", "id-1"]);
    let arrivals = world.upstreams[0].arrivals();
    let apart = arrivals.windows(2).all(|pair| pair[1].at - pair[0].at >= WORK);
    assert!(apart, "{arrivals:?}");
    let metrics = world.metrics().await;
    assert!(metrics.contains("admissions_total{result=\"SentAfterWait\"} 2"), "{metrics}");
});

case!(a_caller_that_leaves_frees_its_place, async {
    let world = one_slot().await;
    let first = occupy(&world, "/safe/x").await;
    let leaves = send_waiting(&world, "/once/x", "id-1", 1).await;
    let stays = send_waiting(&world, "/safe/x", "id-2", 2).await;
    leaves.abort();
    wait_until("its place is free", async || waiting(&world).await == 1).await;
    for sent in [first, stays] {
        assert_eq!(sent.await.expect("no panic").expect("an answer").status, 200);
    }
    assert_eq!(arrivals(&world.upstreams[0]), ["id-0", "id-2"]);
});

case!(a_stopped_gateway_tells_waiting_callers_that_nothing_has_run, async {
    let mut world = one_slot().await;
    world.upstreams[0].then([Behaviour::Hang]);
    let mut settings = waiting_settings(&world.store);
    settings.stop.grace = TimeSpan::from_millis(1_500);
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let hangs = occupy(&world, "/once/x").await;
    let waits = send_waiting(&world, "/safe/x", "id-1", 1).await;
    let World { gateway, store, upstreams, .. } = world;
    let leaving = Gateway::leave(gateway);
    let answer = waits.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(arrivals(&upstreams[0]), ["id-0"]);
    hangs.abort();
    drop((leaving, store));
});

case!(an_upstream_that_reports_too_much_load_is_neither_starved_nor_flooded, async {
    let world = one_slot().await;
    world.upstreams[0].set_response_header("server-load", "9999,9999,1");
    let first = occupy(&world, "/safe/x").await;
    assert_eq!(first.await.expect("no panic").expect("an answer").status, 200);
    let mut sent = Vec::new();
    for n in 1..4 {
        let request = world.request(Method::GET, "/safe/x", &format!("id-{n}"));
        sent.push(tokio::spawn(send(request)));
    }
    for sent in sent {
        assert_eq!(sent.await.expect("no panic").expect("an answer").status, 200);
    }
    let arrivals = world.upstreams[0].arrivals();
    let apart = arrivals.windows(2).map(|pair| pair[1].at - pair[0].at);
    let apart: Vec<_> = apart.collect();
    // One at a time, and the next one soon after.
    assert!(apart.iter().all(|apart| *apart >= WORK), "{apart:?}");
    assert!(apart[1..].iter().all(|apart| *apart < WORK + Duration::from_millis(300)), "{apart:?}");
});

case!(requests_that_arrive_together_do_not_share_a_slot, async {
    let world = one_slot().await;
    world.upstreams[0].then(vec![Behaviour::Echo { after: SHORT_WORK }; BURSTS * BURST_REQUESTS]);
    for burst in 0..BURSTS {
        let requests = (0..BURST_REQUESTS)
            .map(|n| world.request(Method::GET, "/safe/x", &format!("id-{burst}-{n}")));
        let answers = join_all(requests.map(|request| tokio::spawn(send(request)))).await;
        for answer in answers {
            assert_eq!(answer.expect("no panic").expect("an answer").status, 200);
        }
    }
    let arrivals = world.upstreams[0].arrivals();
    let apart = arrivals.windows(2).map(|pair| pair[1].at - pair[0].at);
    let shared = apart.filter(|apart| *apart < SHORT_WORK).count();
    assert_eq!(shared, 0, "of {} requests", arrivals.len());
});
