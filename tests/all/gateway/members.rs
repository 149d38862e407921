//! Upstreams that are listed, that drain, and whose rows disappear.

use reqwest::Method;
use serde_json::json;
use stallhoist_core::StoreVersion;
use stallhoist_gateway::control_store::ControlStore;
use stallhoist_gateway::control_store::Feed;
use stallhoist_settings::StoreSettings;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_users_platform::PlatformStore;

use super::world::PLAIN;
use super::world::World;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

async fn two() -> World {
    World::start(PLAIN, &[Behaviour::answer("done"), Behaviour::answer("done")]).await
}

async fn ask(world: &World, count: usize) {
    for n in 0..count {
        let request = world.request(Method::GET, "/safe/x", &format!("id-{n}"));
        assert_eq!(send(request).await.expect("a response").status, 200);
    }
}

async fn wait_for_upstream(world: &World, text: &str) {
    wait_until("the list has the expected text", async || {
        let dump = world.dump().await["upstreams"].to_string();
        dump.contains(text)
    })
    .await;
}

async fn wait_until_both_are_leaving(world: &World) {
    wait_until("both are leaving", async || {
        let dump = world.dump().await["upstreams"].to_string();
        !dump.contains("Listed")
    })
    .await;
}

case!(a_draining_upstream_gets_no_new_work, async {
    let world = two().await;
    let entry = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "draining");
    world.store.put("servers", "i-0", entry);
    wait_for_upstream(&world, "Leaving").await;
    let before = world.upstreams[0].arrivals().len();
    ask(&world, 10).await;
    assert_eq!(world.upstreams[0].arrivals().len(), before);
});

case!(an_upstream_whose_row_is_gone_is_used_only_without_another, async {
    let world = two().await;
    world.store.remove("servers", "i-0");
    wait_for_upstream(&world, "Leaving").await;
    ask(&world, 10).await;
    assert_eq!(world.upstreams[0].arrivals().len(), 0);
    world.store.remove("servers", "i-1");
    wait_until_both_are_leaving(&world).await;
    ask(&world, 1).await;
});

case!(an_upstream_whose_row_reappears_is_used_again, async {
    let world = two().await;
    world.store.remove("servers", "i-1");
    world.store.remove("servers", "i-0");
    wait_until_both_are_leaving(&world).await;
    let upstream = &world.upstreams[0];
    world.store.put("servers", "i-0", upstream.entry(PLAIN, "zone-1", "v1", "ready"));
    wait_for_upstream(&world, "Listed").await;
    ask(&world, 3).await;
    assert_eq!(world.upstreams[0].runs(), 3);
});

// The address belongs to another upstream now, which rejects requests that are not meant for it; they go to
// other upstreams.
case!(an_upstream_at_a_reused_address_runs_nothing, async {
    let world = two().await;
    let mut entry = world.upstreams[1].entry(PLAIN, "zone-1", "v1", "ready");
    entry["address"] = world.upstreams[0].addr().to_string().into();
    world.store.put("servers", "i-1", entry);
    wait_until("the list has the address twice", async || {
        let dump = world.dump().await["upstreams"].to_string();
        let shared = dump.matches(&world.upstreams[0].addr().to_string()).count();
        shared == 2
    })
    .await;
    ask(&world, 6).await;
    assert_eq!((world.upstreams[0].runs(), world.upstreams[1].runs()), (6, 0));
});

case!(a_request_waits_a_moment_for_an_upstream, async {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    let entry = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
    world.store.remove("servers", "i-0");
    wait_until("no upstream is known", async || {
        world.dump().await["upstreams"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
    let asked = send(world.request(Method::POST, "/once/x", "id-1").body("a body"));
    let listed = async {
        tokio::task::yield_now().await;
        world.store.put("servers", "i-0", entry);
    };
    let (answer, ()) = tokio::join!(asked, listed);
    assert_eq!(answer.expect("a response").status, 200);
});

case!(without_upstreams_a_request_is_rejected_with_a_time_to_retry, async {
    let world = World::start(PLAIN, &[]).await;
    let request = world.request(Method::POST, "/once/x", "id-1").body("a body");
    let answer = send(request).await.expect("a response");
    assert_eq!((answer.status, answer.header("retry-after")), (503, "0.30"));
});

case!(a_list_longer_than_a_page_is_read_completely, async {
    const ROWS: u64 = 1_200;
    let store = StoreStandin::start().await.expect("the store starts");
    let keys: Vec<_> = (0..ROWS).map(|n| format!("i-{n:04}")).collect();
    for key in &keys {
        store.put("servers", key, json!({}));
    }
    let settings = StoreSettings { addr: store.addr().to_string(), ..StoreSettings::default() };
    let client = PlatformStore::new(&settings).expect("a client can be made");
    let page = client.read(Feed::Members).await.expect("the list is read");
    let read: Vec<_> = page.rows.into_iter().map(|row| row.key).collect();
    assert_eq!((read, page.version), (keys, StoreVersion::of(ROWS)));
    assert_eq!(store.calls().len(), 3, "500 rows, 500 and the rest");
});
