//! The routing configuration: it becomes active soon, never an older one, and despite store
//! failures.

use reqwest::Method;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::world::KEY;
use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

async fn world() -> World {
    World::start(PLAIN, &[Behaviour::answer("done")]).await
}

async fn wait_for_version(world: &World, version: u64) {
    wait_until("the configuration is active", async || {
        world.dump().await["config_version"] == version
    })
    .await;
}

case!(a_revoked_key_is_rejected, async {
    let world = world().await;
    let mut next = config(5);
    next["tenants"][0]["api_keys"] = json!(["another-key"]);
    world.store.put("op", "config", next);
    wait_for_version(&world, 5).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 401);
});

case!(a_service_of_one_connection_is_used, async {
    let world = world().await;
    let mut next = config(5);
    next["services"][0]["max_conns"] = json!(1);
    world.store.put("op", "config", next);
    wait_for_version(&world, 5).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 200);
});

// The key is revoked after the head was read and before the body is.
case!(a_key_revoked_while_the_body_arrives_is_rejected, async {
    let world = world().await;
    let mut stream = TcpStream::connect(world.gateway.callers_addr()).await.expect("it listens");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    wait_until("the request is in progress", async || {
        world.metrics().await.contains("stallhoist_in_progress 1")
    })
    .await;
    let mut next = config(5);
    next["tenants"][0]["api_keys"] = json!(["another-key"]);
    world.store.put("op", "config", next);
    wait_for_version(&world, 5).await;
    stream.write_all(b"cd").await.expect("the body is sent");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.expect("an answer");
    assert!(reply.starts_with("HTTP/1.1 401"), "{reply}");
    assert_eq!(world.runs(), 0);
});

case!(an_older_configuration_is_not_installed, async {
    let world = world().await;
    world.store.put("op", "config", config(5));
    wait_for_version(&world, 5).await;
    world.store.put("op", "config", config(4));
    world.store.put("op", "config", config(6));
    wait_for_version(&world, 6).await;
    let metrics = world.metrics().await;
    assert!(metrics.contains("stallhoist_config_version 6"), "{metrics}");
});

case!(an_unreadable_configuration_leaves_the_last_one_active, async {
    let world = world().await;
    world.store.put("op", "config", json!({ "version": 9, "routes": [{ "name": 1 }] }));
    world.store.put("op", "config", config(3));
    wait_for_version(&world, 3).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 200);
});

/// While the store is unavailable the last configuration stays active, and the next one arrives
/// soon after it recovers.
macro_rules! outage {
    ($name:ident, $fault:expr) => {
        case!($name, async {
            let world = world().await;
            world.store.set_fault(Some($fault));
            let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await;
            assert_eq!(answer.expect("an answer").status, 200);
            world.store.put("op", "config", config(8));
            world.store.set_fault(None);
            wait_for_version(&world, 8).await;
        });
    };
}

outage!(busy_store, StoreFault::Status(503));
outage!(store_with_too_many_calls, StoreFault::Status(429));
outage!(silent_store, StoreFault::Silent);

case!(changes_missing_in_the_history_are_read_whole, async {
    let world = world().await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    world.store.put("op", "config", config(8));
    world.store.clear_history();
    world.store.set_fault(None);
    wait_for_version(&world, 8).await;
    assert!(world.store.calls().iter().filter(|call| call.contains("table=op&part=")).count() >= 2);
});

// One table that does not respond must not keep a gateway from serving.
case!(a_gateway_starts_without_the_rollout_records, async {
    let world = world().await;
    world.store.set_fault(Some(StoreFault::SilentTable("stallhoist-rollouts".to_owned())));
    let second = super::world::start_gateway(&world.store).await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    wait_until("the second gateway is ready", async || {
        let ready = super::world::readiness(&http, &second.readiness_addr().to_string()).await;
        ready == 200
    })
    .await;
});
