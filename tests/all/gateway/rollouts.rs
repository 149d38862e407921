//! Rollouts through the store: there is one record, whichever gateway acts and whatever is lost.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use stallhoist_gateway::sessions::SessionKey;
use stallhoist_settings::TimeSpan;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;

use super::world::ENGINE;
use super::world::World;
use super::world::send;
use super::world::start_gateway;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const RECORDS: &str = "stallhoist-rollouts";

/// Two upstreams of the old version and one of the new.
pub(super) async fn world(new: Behaviour) -> World {
    let old = Behaviour::stream(2);
    let world = World::start(ENGINE, &[old.clone(), old, new]).await;
    let entry = world.upstreams[2].entry(ENGINE, "zone-1", "v2", "ready");
    world.store.put("servers", "i-2", entry);
    world
}

pub(super) fn order(world: &World, duration_s: f64) {
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": duration_s });
    world.store.put("op", &format!("rollout/{ENGINE}"), order);
}

pub(super) fn status(world: &World) -> Option<String> {
    let status = world.store.get("status", &format!("rollout/{ENGINE}"))?;
    Some(status["state"].as_str()?.to_owned())
}

pub(super) async fn wait_for_status(world: &World, state: &str) {
    wait_until("operators see the state", async || status(world).as_deref() == Some(state)).await;
}

/// Waits until the gateway knows the record of the rollout.
pub(super) async fn wait_for_rollout_record(world: &World) {
    wait_until("the record is known", async || {
        let rollouts = world.dump().await["rollouts"].clone();
        rollouts.as_array().is_some_and(|list| list.len() == 1)
    })
    .await;
}

/// Sends requests until operators see this state. Returns the number of requests.
pub(super) async fn ask_until(world: &World, state: &str) -> usize {
    for n in 0..20_000 {
        if status(world).as_deref() == Some(state) {
            return n;
        }
        let request = world.stream(&format!("id-{n}")).header("Session", format!("session-{n}"));
        assert_eq!(send(request).await.expect("an answer").status, 200);
    }
    panic!("the state is {:?}", status(world));
}

case!(a_good_version_is_completed, async {
    let world = world(Behaviour::stream(2)).await;
    order(&world, 3.0);
    wait_for_status(&world, "running").await;
    ask_until(&world, "completed").await;
    let before = world.upstreams[0].runs() + world.upstreams[1].runs();
    for n in 0..10 {
        send(world.stream(&format!("after-{n}"))).await.expect("an answer");
    }
    assert_eq!(world.upstreams[0].runs() + world.upstreams[1].runs(), before);
});

/// The failures of the old version that a rollout is judged by; none before they are reported.
async fn old_failures(world: &World) -> Option<usize> {
    let name = format!(
        r#"stallhoist_rollout_responses{{service="{ENGINE}",side="Old",result="Failed"}} "#
    );
    let metrics = world.metrics().await;
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name))?;
    Some(line.parse().expect("a number"))
}

case!(a_request_whose_attempts_all_fail_is_one_failure_of_its_version, async {
    const REQUESTS: usize = 12;
    let world = World::start(ENGINE, &[Behaviour::Fail, Behaviour::Fail]).await;
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    wait_for_rollout_record(&world).await;
    for n in 0..REQUESTS {
        let answer = send(world.stream(&format!("id-{n}"))).await.expect("an answer");
        assert_eq!(answer.status, 500);
    }
    assert!(world.runs() > REQUESTS, "{} attempts: they are repeated", world.runs());
    wait_until("the failures are reported", async || {
        old_failures(&world).await.is_some_and(|failures| failures >= REQUESTS)
    })
    .await;
    assert_eq!(old_failures(&world).await, Some(REQUESTS));
});

// Requests that fail on the bad version succeed on the old one, and the rollout is rolled back long
// before it was to be completed.
case!(a_bad_version_is_rolled_back, async {
    let world = world(Behaviour::Fail).await;
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    let requests = ask_until(&world, "rolled_back").await;
    let seen = world.upstreams[2].runs();
    assert!(seen < 25, "{seen} of {requests} requests reached it");
    for n in 0..50 {
        send(world.stream(&format!("after-{n}"))).await.expect("an answer");
    }
    assert_eq!(world.upstreams[2].runs(), seen);
});

case!(a_request_that_failed_on_a_version_on_trial_is_repeated_on_the_old_one, async {
    let good = Behaviour::stream(2);
    let world = World::start(ENGINE, &[good.clone(), good, Behaviour::Fail, Behaviour::Fail]).await;
    for n in 2..4 {
        let entry = world.upstreams[n].entry(ENGINE, "zone-1", "v2", "ready");
        world.store.put("servers", &format!("i-{n}"), entry);
    }
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    wait_for_rollout_record(&world).await;
    let runs_on_new = || world.upstreams[2].runs() + world.upstreams[3].runs();
    wait_until("the new version's upstreams are known", async || {
        world.dump().await["upstreams"].to_string().matches(" v2 ").count() == 2
    })
    .await;
    let before = runs_on_new();
    let is_of_new = |name: &String| SessionKey::of(name).unit() < 0.03;
    let names = (0..).map(|n| format!("id-{n}")).filter(is_of_new).take(3);
    for name in names {
        assert_eq!(send(world.stream(&name)).await.expect("an answer").status, 200, "{name}");
    }
    assert_eq!(runs_on_new() - before, 3, "each reached the new version once");
});

case!(an_order_is_followed_although_replies_to_writes_are_lost, async {
    let world = world(Behaviour::stream(2)).await;
    world.store.set_fault(Some(StoreFault::LoseWriteAnswers));
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    let first = world.store.get(RECORDS, ENGINE);
    world.store.set_fault(None);
    wait_for_rollout_record(&world).await;
    assert_eq!(world.store.get(RECORDS, ENGINE), first, "it was not restarted");
});

case!(two_gateways_make_one_record, async {
    let world = world(Behaviour::stream(2)).await;
    let second = start_gateway(&world.store).await;
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    let first = world.store.get(RECORDS, ENGINE);
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    wait_until("the second gateway knows the record", async || {
        let url = format!("http://{}/state", second.operators_addr());
        let response = http.get(url).send().await.expect("the dump is served");
        let dump: Value = response.json().await.expect("the dump is JSON");
        dump["rollouts"].as_array().is_some_and(|list| list.len() == 1)
    })
    .await;
    assert_eq!(world.store.get(RECORDS, ENGINE), first);
});

// After a restart, only the record says that the bad version must not be used.
case!(a_rolled_back_version_stays_out_after_a_restart, async {
    let mut world = world(Behaviour::Fail).await;
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    ask_until(&world, "rolled_back").await;
    world.gateway = start_gateway(&world.store).await;
    world.wait_until_ready().await;
    wait_for_rollout_record(&world).await;
    let seen = world.upstreams[2].runs();
    for n in 0..50 {
        send(world.stream(&format!("after-{n}"))).await.expect("an answer");
    }
    assert_eq!(world.upstreams[2].runs(), seen);
});

// A session must not expire while its response is still streamed: its next request could go to the new
// version.
case!(a_session_with_a_long_response_keeps_its_version, async {
    const SESSIONS: usize = 60;
    let mut world = world(Behaviour::stream(2)).await;
    let mut settings = super::world::settings(&world.store);
    settings.session = TimeSpan::from_millis(200);
    let new_entry = world.store.get("servers", "i-2").expect("it is listed");
    world.store.remove("servers", "i-2");
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let long = Behaviour::Stream {
        events: 10,
        pause: Duration::from_millis(100),
        confidence: None,
        truncate_after: None,
    };
    for upstream in &world.upstreams[..2] {
        upstream.then(std::iter::repeat_n(long.clone(), SESSIONS));
    }
    let ask = |n: usize, round: &str| {
        let request = world.stream(&format!("{round}-{n}"));
        send(request.header("Session", format!("session-{n}")))
    };
    let first = join_all((0..SESSIONS).map(|n| ask(n, "first")));
    let ordered = async {
        wait_until("all streams run", async || world.runs() >= SESSIONS).await;
        world.store.put("servers", "i-2", new_entry);
        order(&world, 600.0);
    };
    let (answers, ()) = tokio::join!(first, ordered);
    assert!(answers.iter().flatten().all(|answer| answer.is_whole));
    wait_for_rollout_record(&world).await;
    join_all((0..SESSIONS).map(|n| ask(n, "second"))).await;
    let moved = world.upstreams[2].arrivals();
    let moved: Vec<_> = moved.iter().filter(|a| !a.header("session").is_empty()).collect();
    assert!(moved.is_empty(), "{} of {SESSIONS} sessions changed their version", moved.len());
});
