//! Routes and workspaces with allowed regions: their data may go to no other region.

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
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

/// Longest time to the rejection of a request that no upstream may serve.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Upstreams of zone-1 in the region north, zone-2 in the region south, and zone-3, whose region is unknown; and
/// the allowed regions of the routes and of the workspace.
async fn world(service: &str, behaviours: &[Behaviour], route: Value, workspace: Value) -> World {
    let mut world = World::start(service, behaviours).await;
    for (n, upstream) in world.upstreams.iter().enumerate() {
        let entry = upstream.entry(service, &format!("zone-{}", n + 1), "v1", "ready");
        world.store.put("servers", &format!("i-{n}"), entry);
    }
    let mut with_regions = config(2);
    for n in 0..4 {
        with_regions["routes"][n]["allowed_regions"] = route.clone();
    }
    with_regions["tenants"][0]["allowed_regions"] = workspace;
    world.store.put("op", "config", with_regions);
    let region = |zone: &str, region: &str| {
        (zone.parse().expect("a valid name"), region.parse().expect("a valid name"))
    };
    world.gateway = start_gateway_with(GatewaySettings {
        regions: [region("zone-1", "north"), region("zone-2", "south")].into(),
        ..settings(&world.store)
    })
    .await;
    world.wait_until_ready().await;
    world
}

/// Requests of a route and a workspace with these allowed regions are served by these upstreams alone.
macro_rules! served_by {
    ($name:ident, $route:expr, $workspace:expr, $upstreams:expr) => {
        case!($name, async {
            let behaviours = vec![Behaviour::answer("done"); 3];
            let world = world(PLAIN, &behaviours, $route, $workspace).await;
            // Several requests, so that busy upstreams make others the better choice.
            for n in 0..30 {
                let request = world.request(Method::GET, "/safe/x", &format!("id-{n}"));
                assert_eq!(send(request).await.expect("a response").status, 200);
            }
            let arrivals = world.upstreams.iter().map(|upstream| upstream.arrivals().len());
            let arrivals: Vec<_> = arrivals.collect();
            let expected: &[usize] = &$upstreams;
            for (n, count) in arrivals.iter().enumerate() {
                assert!(expected.contains(&n) || *count == 0, "{arrivals:?}");
            }
        });
    };
}

served_by!(a_route_limited_to_the_north, json!(["north"]), json!([]), [0]);
served_by!(a_workspace_limited_to_the_south, json!([]), json!(["south"]), [1]);
served_by!(both_limits_apply, json!(["north", "south"]), json!(["south", "west"]), [1]);
served_by!(without_limits_any_upstream_serves, json!([]), json!([]), [0, 1, 2]);

/// Requests that no upstream may serve are rejected at once, with an error of their own.
macro_rules! rejected {
    ($name:ident, $route:expr, $workspace:expr) => {
        case!($name, async {
            let behaviours = vec![Behaviour::answer("done"); 3];
            let world = world(PLAIN, &behaviours, $route, $workspace).await;
            let asked = Instant::now();
            let request = world.request(Method::GET, "/safe/x", "id-1");
            let answer = send(request).await.expect("a response");
            assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
            assert_eq!((answer.status, world.runs()), (503, 0));
            assert!(answer.body.contains("operators let no upstream be used"), "{}", answer.body);
        });
    };
}

rejected!(a_region_without_upstreams, json!(["west"]), json!([]));
rejected!(regions_without_a_common_one, json!(["north"]), json!(["south"]));

case!(no_other_region_serves_when_the_allowed_one_fails, async {
    let behaviours = [Behaviour::NotExecuted, Behaviour::answer("done"), Behaviour::answer("done")];
    let world = world(PLAIN, &behaviours, json!(["north"]), json!([])).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("a response");
    assert_eq!((answer.status, world.upstreams[1].runs() + world.upstreams[2].runs()), (503, 0));
});

case!(a_stream_is_not_continued_in_another_region, async {
    let broken = Behaviour::Stream {
        events: 6,
        pause: Duration::ZERO,
        confidence: None,
        truncate_after: Some(3),
    };
    let behaviours = [broken, Behaviour::stream(6), Behaviour::stream(6)];
    let world = world(ENGINE, &behaviours, json!(["north"]), json!([])).await;
    let answer = send(world.stream("id-1")).await.expect("a response");
    assert!(answer.body.starts_with(&events(1, 3)), "{}", answer.body);
    assert_eq!(world.upstreams[1].runs() + world.upstreams[2].runs(), 0);
});

case!(no_other_region_serves_when_the_allowed_one_is_emptied, async {
    let behaviours = vec![Behaviour::answer("done"); 3];
    let world = world(PLAIN, &behaviours, json!(["north"]), json!([])).await;
    world.store.put("op", "evacuate/zone-1", json!({}));
    wait_until("the availability zone is emptied", async || {
        world.dump().await["emptied_zones"] == json!(["zone-1"])
    })
    .await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("a response");
    assert_eq!((answer.status, world.runs()), (503, 0));
});
