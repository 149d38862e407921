//! The retry budget of a service: its bound, its share for each gateway, and what a start of a gateway leaves of it.

use reqwest::Method;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;

use super::world::PLAIN;
use super::world::World;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

case!(the_retry_budget_bounds_retries, async {
    let world = World::start(PLAIN, &[Behaviour::Fail]).await;
    const REQUESTS: usize = 60;
    for n in 0..REQUESTS {
        send(world.request(Method::GET, "/safe/x", &format!("id-{n}"))).await.expect("an answer");
    }
    let retries = world.runs() - REQUESTS;
    // 0.9 of the requests, less the reserve, and a burst of 8.
    assert!((30..=(REQUESTS * 855 / 1_000 + 9)).contains(&retries), "{retries}");
});

// Guards against a budget that begins full at each start, as if the process before it had spent nothing.
case!(a_gateway_that_restarts_stays_within_the_retry_budget, async {
    const STARTS: usize = 12;
    const REQUESTS: usize = 6;
    let mut world = World::start(PLAIN, &[Behaviour::Fail, Behaviour::Fail, Behaviour::Fail]).await;
    for start in 0..STARTS {
        if start > 0 {
            world.restart_gateway().await;
        }
        for n in 0..REQUESTS {
            let request = world.request(Method::GET, "/safe/x", &format!("id-{start}-{n}"));
            assert_eq!(send(request).await.expect("an answer").status, 500);
        }
    }
    let requests = STARTS * REQUESTS;
    let retries = world.runs() - requests;
    // The default ratio of the requests, and the slack.
    assert!(retries <= requests * 9 / 10 + 50, "{retries} retries of {requests} requests");
});

// Guards against hosts that all count as new, with attempts to spare, after the store has lost their rows.
case!(a_gateway_whose_row_the_store_has_lost_stays_within_the_retry_budget, async {
    const STARTS: usize = 16;
    const SLACK: f64 = 12.0;
    let mut world = World::start(PLAIN, &[Behaviour::Fail, Behaviour::Fail, Behaviour::Fail]).await;
    let copy = world.store.copy();
    let mut settings = settings(&world.store);
    settings.host.id = "lost".parse().expect("a name");
    settings.retries.fleet_slack = SLACK;
    for start in 0..STARTS {
        world.store.restore_from(copy.clone());
        world.gateway = start_gateway_with(settings.clone()).await;
        world.wait_until_ready().await;
        let request = world.request(Method::GET, "/safe/x", &format!("id-{start}"));
        assert_eq!(send(request).await.expect("an answer").status, 500);
    }
    let retries = world.runs() - STARTS;
    let allowed = 0.9 * STARTS as f64 + SLACK;
    assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
});

case!(a_restarted_gateway_repeats_its_first_request, async {
    let mut world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    world.restart_gateway().await;
    world.upstreams[0].then([Behaviour::Fail]);
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 200);
});

// Guards against gateways that start together and each take themselves to be alone, with the whole slack.
case!(a_gateway_with_seeds_saves_few_retries_until_it_is_listed, async {
    const SERVED: usize = 20;
    const FAILED: usize = 8;
    let mut world = World::start(PLAIN, &vec![Behaviour::answer("done"); 3]).await;
    let mut settings = settings(&world.store);
    settings.host.id = "unlisted".parse().expect("a name");
    settings.seeds = vec!["127.0.0.1:1".to_owned()];
    world.store.pin("stallhoist-entries", "unlisted", json!("not a row of a gateway"));
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    for n in 0..SERVED {
        let request = world.request(Method::GET, "/safe/x", &format!("served-{n}"));
        assert_eq!(send(request).await.expect("an answer").status, 200);
    }
    for upstream in &world.upstreams {
        upstream.then(vec![Behaviour::Fail; FAILED * 3]);
    }
    for n in 0..FAILED {
        let request = world.request(Method::GET, "/safe/x", &format!("failed-{n}"));
        assert_eq!(send(request).await.expect("an answer").status, 500);
    }
    // Two saved retries, and 0.855 for each request; those served paid for all 16.
    let retries = world.runs() - SERVED - FAILED;
    assert!(retries <= 2 + 7, "{retries} retries");
});

// Guards against gateways that exceed the platform's limit together: its burst is divided among them, as 30
// gateways with a burst of 8 each would exceed it.
case!(the_burst_is_divided_among_gateways, async {
    const REQUESTS: usize = 8;
    let world = World::start(PLAIN, &[Behaviour::Fail, Behaviour::Fail, Behaviour::Fail]).await;
    for n in 0..30 {
        let gone = json!({ "peers_addr": "127.0.0.1:1" });
        world.store.put("stallhoist-entries", &format!("other-{n}"), gone);
    }
    wait_until("the gateways are known", async || {
        world.dump().await["entries"].as_u64().is_some_and(|entries| entries >= 30)
    })
    .await;
    for n in 0..REQUESTS {
        send(world.request(Method::GET, "/safe/x", &format!("id-{n}"))).await.expect("an answer");
    }
    // A burst of 3 and 0.855 retries for each request; without the budget each request would make 2.
    assert!(world.runs() <= REQUESTS + 3 + 7, "{} runs", world.runs());
});
