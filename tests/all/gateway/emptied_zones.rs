//! Availability zones that operators empty, and take back.
//!
//! What users saw: 160 to 4,300 requests a day reached upstreams of a zone long after operators had
//! emptied it. The cause: nothing read what operators had asked for.

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

/// A request that cannot be served is refused in less: not after a wait for an upstream.
const AT_ONCE: Duration = Duration::from_millis(500);

/// One upstream in each of zone-1, zone-2 and so on.
async fn world(service: &str, behaviours: &[Behaviour]) -> World {
    let world = World::start(service, behaviours).await;
    for (n, upstream) in world.upstreams.iter().enumerate() {
        let entry = upstream.entry(service, &zone(n), "v1", "ready");
        world.store.put("servers", &format!("i-{n}"), entry);
    }
    wait_until("the zones are known", async || {
        let list = world.dump().await["upstreams"].to_string();
        (0..behaviours.len()).all(|n| list.contains(&zone(n)))
    })
    .await;
    world
}

fn zone(upstream: usize) -> String {
    format!("zone-{}", upstream + 1)
}

/// Operators empty the zone of an upstream.
async fn empty(world: &World, upstream: usize) {
    let row = format!("evacuate/{}", zone(upstream));
    world.store.put("op", &row, json!({}));
    wait_for(world, upstream, true).await;
}

/// They take it back.
async fn take_back(world: &World, upstream: usize) {
    world.store.remove("op", &format!("evacuate/{}", zone(upstream)));
    wait_for(world, upstream, false).await;
}

async fn wait_for(world: &World, upstream: usize, is_emptied: bool) {
    wait_until("the zone is emptied or taken back", async || {
        let emptied = world.dump().await["emptied_zones"].to_string();
        emptied.contains(&zone(upstream)) == is_emptied
    })
    .await;
}

async fn ask(world: &World, count: usize) {
    for n in 0..count {
        let request = world.request(Method::GET, "/safe/x", &format!("id-{n}-{count}"));
        let answer = send(request).await.expect("an answer");
        assert_eq!((n, answer.status), (n, 200));
    }
}

fn arrivals(world: &World) -> Vec<usize> {
    world.upstreams.iter().map(|upstream| upstream.arrivals().len()).collect()
}

case!(nothing_is_sent_to_an_emptied_zone_until_it_is_taken_back, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 3]).await;
    empty(&world, 0).await;
    empty(&world, 2).await;
    ask(&world, 40).await;
    assert_eq!(arrivals(&world), [0, 40, 0]);
    take_back(&world, 0).await;
    take_back(&world, 2).await;
    // The entry's own zone comes first once it may be used.
    ask(&world, 10).await;
    assert!(arrivals(&world)[0] > 0, "{:?}", arrivals(&world));
});

case!(an_upstream_in_an_emptied_zone_is_not_used_when_the_others_fail, async {
    let world = world(PLAIN, &[Behaviour::answer("done"), Behaviour::NotExecuted]).await;
    empty(&world, 0).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!((answer.status, arrivals(&world)[0]), (503, 0));
});

case!(with_all_zones_emptied_requests_are_refused_at_once, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    empty(&world, 1).await;
    let asked = Instant::now();
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert_eq!((answer.status, answer.header("retry-after")), (503, "1.00"));
    assert!(answer.body.contains("operators let no upstream be used"), "{}", answer.body);
    assert!(world.metrics().await.contains("end=\"NotAllowed\"} 1"), "the refusal is counted");
    assert_eq!(arrivals(&world), [0, 0]);
    take_back(&world, 1).await;
    ask(&world, 3).await;
});

/// A stream that breaks in the middle, slow enough that a zone can be emptied meanwhile.
fn torn_slowly() -> Behaviour {
    let pause = Duration::from_millis(300);
    Behaviour::Stream { events: 6, pause, confidence: None, torn_after: Some(3) }
}

case!(a_stream_is_not_continued_in_an_emptied_zone, async {
    let world = world(ENGINE, &[torn_slowly(), Behaviour::stream(6), Behaviour::stream(6)]).await;
    empty(&world, 1).await;
    empty(&world, 2).await;
    let streaming = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream has begun", async || world.runs() == 1).await;
    take_back(&world, 2).await;
    let answer = streaming.await.expect("it ends").expect("an answer");
    assert_eq!((answer.status, answer.body), (200, events(1, 6)));
    assert_eq!(arrivals(&world), [1, 0, 1]);
});

case!(what_runs_in_a_zone_that_is_emptied_ends_in_peace, async {
    let slow = Behaviour::Stream {
        events: 6,
        pause: Duration::from_millis(200),
        confidence: None,
        torn_after: None,
    };
    let world = world(ENGINE, &[slow, Behaviour::stream(6)]).await;
    empty(&world, 1).await;
    let streaming = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream has begun", async || world.runs() == 1).await;
    take_back(&world, 1).await;
    empty(&world, 0).await;
    let answer = streaming.await.expect("it ends").expect("an answer");
    assert_eq!((answer.is_whole, answer.body), (true, events(1, 6)));
    assert_eq!(arrivals(&world), [1, 0]);
});

case!(an_entry_that_starts_knows_it_before_it_serves, async {
    let mut world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.gateway = start_gateway(&world.store).await;
    world.wait_until_ready().await;
    ask(&world, 20).await;
    assert_eq!(arrivals(&world), [0, 20]);
});

case!(it_stays_emptied_while_the_store_is_away, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    ask(&world, 20).await;
    assert_eq!(arrivals(&world), [0, 20]);
});

// The change is not among those that are told: the whole is read, and the zone is not in it.
case!(one_taken_back_while_the_store_forgot_its_history_is_used_again, async {
    let world = world(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    empty(&world, 0).await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    wait_until("the store is away", async || {
        world.metrics().await.contains("store_failures_total") && {
            let metrics = world.metrics().await;
            !metrics.contains("store_failures_total 0\n")
        }
    })
    .await;
    world.store.remove("op", "evacuate/zone-1");
    world.store.forget_history();
    world.store.set_fault(None);
    wait_for(&world, 0, false).await;
    ask(&world, 10).await;
    assert!(arrivals(&world)[0] > 0, "{:?}", arrivals(&world));
});

// What such a row says does not matter, and a name that is none empties nothing.
case!(rows_that_cannot_be_read_empty_nothing_else, async {
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
