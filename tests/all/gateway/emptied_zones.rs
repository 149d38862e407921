//! Availability zones that operators empty and restore.
//!
//! Guards against requests to upstreams in an emptied zone: when gateways did not read the operators' rows,
//! 160 to 4,300 requests per day reached such upstreams.

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;

use super::world::ENGINE;
use super::world::PLAIN;
use super::world::World;
use super::world::events;
use super::world::send;
use super::world::start_gateway;
use crate::case::case;
use crate::harness::wait_until;

/// Longest time to the rejection of a request that cannot be served, which must not wait for an upstream.
const AT_ONCE: Duration = Duration::from_millis(500);

/// One upstream in each of zone-1, zone-2 and so on.
async fn world(service: &str, behaviours: &[Behaviour]) -> World {
    let world = World::start(service, behaviours).await;
    for (n, upstream) in world.upstreams.iter().enumerate() {
        let entry = upstream.entry(service, &zone(n), "v1", "ready");
        world.store.put("servers", &format!("i-{n}"), entry);
    }
    wait_until("the availability zones are known", async || {
        let list = world.dump().await["upstreams"].to_string();
        (0..behaviours.len()).all(|n| list.contains(&zone(n)))
    })
    .await;
    world
}

fn zone(upstream: usize) -> String {
    format!("zone-{}", upstream + 1)
}

/// Empties the zone of an upstream and waits until the gateway knows it.
async fn empty(world: &World, upstream: usize) {
    let row = format!("evacuate/{}", zone(upstream));
    world.store.put("op", &row, json!({}));
    wait_for(world, upstream, true).await;
}

/// Restores the zone of an upstream and waits until the gateway knows it.
async fn restore(world: &World, upstream: usize) {
    world.store.remove("op", &format!("evacuate/{}", zone(upstream)));
    wait_for(world, upstream, false).await;
}

async fn wait_for(world: &World, upstream: usize, is_emptied: bool) {
    wait_until("the availability zone is emptied or restored", async || {
        let emptied = world.dump().await["emptied_zones"].to_string();
        emptied.contains(&zone(upstream)) == is_emptied
    })
    .await;
}

async fn ask(world: &World, count: usize) {
    for n in 0..count {
        let request = world.request(Method::GET, "/safe/x", &format!("id-{n}-{count}"));
        let answer = send(request).await.expect("a response");
        assert_eq!((n, answer.status), (n, 200));
    }
}

fn arrivals(world: &World) -> Vec<usize> {
    world.upstreams.iter().map(|upstream| upstream.arrivals().len()).collect()
}

case!(nothing_is_sent_to_an_emptied_zone_until_it_is_restored, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 3]).await;
    empty(&world, 0).await;
    empty(&world, 2).await;
    ask(&world, 40).await;
    assert_eq!(arrivals(&world), [0, 40, 0]);
    restore(&world, 0).await;
    restore(&world, 2).await;
    // The gateway's own zone is preferred once it may be used.
    ask(&world, 10).await;
    assert!(arrivals(&world)[0] > 0, "{:?}", arrivals(&world));
});

case!(an_upstream_in_an_emptied_zone_is_not_used_when_the_others_fail, async {
    let world = world(PLAIN, &[Behaviour::answer("done"), Behaviour::NotExecuted]).await;
    empty(&world, 0).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("a response");
    assert_eq!((answer.status, arrivals(&world)[0]), (503, 0));
});

case!(with_all_zones_emptied_requests_are_rejected_at_once, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    empty(&world, 1).await;
    let asked = Instant::now();
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("a response");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!((answer.status, answer.header("retry-after")), (503, "1.00"));
    assert!(answer.body.contains("operators let no upstream be used"), "{}", answer.body);
    assert!(world.metrics().await.contains("end=\"NotAllowed\"} 1"), "the rejection is counted");
    assert_eq!(arrivals(&world), [0, 0]);
    restore(&world, 1).await;
    ask(&world, 3).await;
});

/// A stream that breaks after half of its events, slow enough that a zone can be emptied meanwhile.
fn slow_broken_stream() -> Behaviour {
    let pause = Duration::from_millis(300);
    Behaviour::Stream { events: 6, pause, confidence: None, truncate_after: Some(3) }
}

case!(a_stream_is_not_continued_in_an_emptied_zone, async {
    let world =
        world(ENGINE, &[slow_broken_stream(), Behaviour::stream(6), Behaviour::stream(6)]).await;
    empty(&world, 1).await;
    empty(&world, 2).await;
    let streaming = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream has begun", async || world.runs() == 1).await;
    restore(&world, 2).await;
    let answer = streaming.await.expect("the task completes").expect("a response");
    assert_eq!((answer.status, answer.body), (200, events(1, 6)));
    assert_eq!(arrivals(&world), [1, 0, 1]);
});

case!(a_stream_in_a_zone_that_is_emptied_is_not_interrupted, async {
    let slow = Behaviour::Stream {
        events: 6,
        pause: Duration::from_millis(200),
        confidence: None,
        truncate_after: None,
    };
    let world = world(ENGINE, &[slow, Behaviour::stream(6)]).await;
    empty(&world, 1).await;
    let streaming = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream has begun", async || world.runs() == 1).await;
    restore(&world, 1).await;
    empty(&world, 0).await;
    let answer = streaming.await.expect("the task completes").expect("a response");
    assert_eq!((answer.is_whole, answer.body), (true, events(1, 6)));
    assert_eq!(arrivals(&world), [1, 0]);
});

case!(a_gateway_knows_emptied_zones_before_it_is_ready, async {
    let mut world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.gateway = start_gateway(&world.store).await;
    world.wait_until_ready().await;
    ask(&world, 20).await;
    assert_eq!(arrivals(&world), [0, 20]);
});

case!(a_zone_stays_emptied_while_the_store_is_unavailable, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    ask(&world, 20).await;
    assert_eq!(arrivals(&world), [0, 20]);
});

// The store no longer has the change in its history: the gateway reads all rows, and the zone is not among them.
case!(a_zone_restored_while_the_store_lost_its_history_is_used_again, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    wait_until("the store is unavailable", async || {
        world.metrics().await.contains("store_failures_total") && {
            let metrics = world.metrics().await;
            !metrics.contains("store_failures_total 0\n")
        }
    })
    .await;
    world.store.remove("op", "evacuate/zone-1");
    world.store.clear_history();
    world.store.set_fault(None);
    wait_for(&world, 0, false).await;
    ask(&world, 10).await;
    assert!(arrivals(&world)[0] > 0, "{:?}", arrivals(&world));
});

// The value of such a row is ignored, and a key without a valid zone name empties nothing.
case!(rows_with_invalid_keys_or_values_empty_no_other_zone, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    world.store.put("op", "evacuate/", json!({}));
    world.store.put("op", "evacuate/no such zone!", json!({}));
    world.store.put_raw("op", "evacuate/zone-2", "not base64 !");
    wait_for(&world, 1, true).await;
    let emptied = world.dump().await["emptied_zones"].clone();
    assert_eq!(emptied, json!(["zone-2"]));
    ask(&world, 10).await;
    assert_eq!(arrivals(&world), [10, 0]);
});
