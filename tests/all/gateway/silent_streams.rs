//! Upstreams that are silent for longer than another attempt waits, and go on with their work after that.

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stallhoist_settings::GatewayRetrySettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::users_platform::Behaviour;

use super::world::ENGINE;
use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::events;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// Longer than a stream is silent before another upstream is tried.
const SILENCE: Duration = Duration::from_millis(2_400);

/// Longer than a call waits for its response before another upstream is tried.
const LATE: Duration = Duration::from_millis(1_600);

const EVENTS: u64 = 2;

/// A host that no gateway has been listed for.
const HOST: &str = "a-new-host";

/// A stream that is silent before each of its events.
fn preempted() -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: SILENCE, confidence: None, truncate_after: None }
}

/// Upstreams of a service whose requests may take long and be sent to this many upstreams.
async fn world_of(service: &str, behaviours: &[Behaviour], max_attempts: u32) -> World {
    let world = World::start(service, behaviours).await;
    put_config(&world, max_attempts).await;
    world
}

async fn put_config(world: &World, max_attempts: u32) {
    let mut config = config(2);
    config["routes"][0]["max_attempts"] = json!(max_attempts);
    let stream = &mut config["routes"][2];
    stream["max_attempts"] = json!(max_attempts);
    stream["target_latency_ms"] = json!(3_000);
    stream["timeout_ms"] = json!(15_000);
    world.store.put("op", "config", config);
    wait_until("the configuration is active", async || world.dump().await["config_version"] == 2)
        .await;
}

/// The same with a gateway that has used its only retry.
async fn world_without_retries(service: &str, behaviours: &[Behaviour]) -> World {
    let mut world = World::start(service, behaviours).await;
    let retries = GatewayRetrySettings { fleet_ratio: 0.0, fleet_slack: 0.0 };
    let mut settings = GatewaySettings { retries, ..settings(&world.store) };
    // Only a new host starts with a retry.
    settings.host.id = HOST.parse().expect("a name");
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let is_listed = async || world.store.get("stallhoist-entries", HOST).is_some();
    wait_until("the gateway is listed", is_listed).await;
    put_config(&world, 3).await;
    world.upstreams.iter().for_each(|upstream| upstream.then([Behaviour::Fail]));
    let request = if service == ENGINE {
        world.stream_within("id-0", 15_000)
    } else {
        world.request(Method::GET, "/safe/x", "id-0")
    };
    send(request).await.expect("an answer");
    let is_used = |dump: &Value| dump["retry_budgets"].to_string().contains("0.00 of");
    wait_until("the retry is used", async || is_used(&world.dump().await)).await;
    world
}

/// Asserts that a stream is delivered whole by its first upstream.
async fn expect_whole(world: &World) {
    let answer = send(world.stream_within("id-1", 15_000)).await.expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (events(1, EVENTS), true));
}

// The caller's connection was closed while the engine was at work on the stream.
case!(a_silent_stream_without_another_attempt_is_completed, async {
    expect_whole(&world_of(ENGINE, &[preempted(), preempted()], 1).await).await;
});

case!(a_silent_stream_without_a_retry_is_completed, async {
    expect_whole(&world_without_retries(ENGINE, &[preempted(), preempted()]).await).await;
});

// It was started a second time beside its first run.
case!(a_silent_stream_without_another_upstream_is_completed, async {
    let world = world_of(ENGINE, &[preempted()], 3).await;
    expect_whole(&world).await;
    assert_eq!(world.runs(), 1);
});

case!(a_silent_stream_that_others_reject_is_completed, async {
    let world = world_of(ENGINE, &[preempted(), preempted()], 2).await;
    let request = tokio::spawn(send(world.stream_within("id-1", 15_000)));
    let (_, other) = world.wait_for_only_run().await;
    world.upstreams[other].then([Behaviour::NotExecuted]);
    let answer = request.await.expect("it ends").expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (events(1, EVENTS), true));
});

// It got 502 before its time was over, although no other attempt was made.
case!(a_late_response_without_a_retry_is_awaited, async {
    let late = Behaviour::Answer { body: "done".to_owned(), after: LATE };
    let world = world_without_retries(PLAIN, &[late.clone(), late]).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
});

// It went on for 3 s beside the next one, whose response was lost.
case!(a_silent_upstream_is_not_at_work_beside_the_next_one, async {
    const MAX_OVERLAP: Duration = Duration::from_millis(400);
    let world = world_of(ENGINE, &[preempted(), preempted()], 3).await;
    let request = tokio::spawn(send(world.stream_within("id-1", 15_000)));
    let (silent, other) = world.wait_for_only_run().await;
    world.upstreams[other].then([Behaviour::Hang]);
    wait_until("the next one runs", async || world.upstreams[other].runs() == 1).await;
    let began = Instant::now();
    wait_until("the silent one has stopped", async || world.upstreams[silent].abandoned() == 1)
        .await;
    assert!(began.elapsed() < MAX_OVERLAP, "both were at work for {:?}", began.elapsed());
    request.abort();
});
