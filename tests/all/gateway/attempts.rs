//! Effect of an upstream's faults on a request, by kind of request.

use std::time::Duration;

use reqwest::Method;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::PLAIN;
use super::world::World;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

/// One upstream: the first attempt meets `fault`, all others succeed.
async fn world(fault: &Behaviour) -> World {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    world.upstreams[0].then([fault.clone()]);
    world
}

/// Checks that a repeatable request gets a response in spite of a fault.
macro_rules! repeated {
    ($name:ident, $fault:expr) => {
        case!($name, async {
            let world = world(&$fault).await;
            let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await;
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
            assert_eq!(world.upstreams[0].arrivals().len(), 2);
        });
    };
}

repeated!(safe_failure, Behaviour::Fail);
repeated!(safe_not_executed, Behaviour::NotExecuted);
repeated!(safe_misdirected, Behaviour::Misdirected);
repeated!(safe_wrong_id, Behaviour::WrongId);
repeated!(safe_without_seal, Behaviour::NoSeal);
repeated!(safe_cut_body, Behaviour::CutBody);
repeated!(safe_cut_before_reply, Behaviour::CutBeforeReply);
repeated!(safe_hangs, Behaviour::Hang);

/// Checks that a request that must run at most once does so, and that the caller gets the right status.
macro_rules! once {
    ($name:ident, $fault:expr, $status:expr, $runs:expr) => {
        case!($name, async {
            let world = world(&$fault).await;
            let request = world.request(Method::POST, "/once/x", "id-1").body("a body");
            let answer = send(request).await.expect("an answer");
            assert_eq!(answer.status, $status, "{answer:?}");
            assert_eq!(world.runs(), $runs);
        });
    };
}

once!(once_failure_is_passed_on, Behaviour::Fail, 500, 1);
once!(once_not_executed_runs_elsewhere, Behaviour::NotExecuted, 200, 1);
once!(once_misdirected_runs_elsewhere, Behaviour::Misdirected, 200, 1);
once!(once_wrong_id, Behaviour::WrongId, 502, 1);
once!(once_without_seal, Behaviour::NoSeal, 502, 1);
once!(once_cut_body, Behaviour::CutBody, 502, 1);
once!(once_cut_before_reply, Behaviour::CutBeforeReply, 502, 1);
once!(once_hangs, Behaviour::Hang, 504, 1);

case!(an_upstreams_failure_keeps_its_seal_and_body, async {
    let world = World::start(PLAIN, &[Behaviour::Fail]).await;
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("response-seal"), "seal.1");
    assert_eq!(world.runs(), 3, "as many attempts as the route allows");
});

case!(a_request_that_nobody_ran_has_a_retry_after, async {
    let world = World::start(PLAIN, &[Behaviour::NotExecuted]).await;
    let request = world.request(Method::POST, "/once/x", "id-1").body("a body");
    let answer = send(request).await.expect("an answer");
    assert_eq!((answer.status, answer.header("retry-after")), (503, "0.30"));
    assert_eq!((world.runs(), world.upstreams[0].arrivals().len()), (0, 3));
});

// Guards against reporting "not run" for a request whose first attempt may have run, when later attempts are
// rejected.
case!(not_executed_after_a_lost_response_is_not_reported_as_not_run, async {
    let world = World::start(PLAIN, &[Behaviour::NotExecuted]).await;
    world.upstreams[0].then([Behaviour::CutBeforeReply]);
    let answer = send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 502);
});

// A host without the process refuses the connection, so the request was not sent: even one that must run at
// most once is sent to another upstream, and no attempt is used up.
case!(an_upstream_that_has_gone_uses_no_attempt, async {
    let mut world =
        World::start(PLAIN, &[Behaviour::answer("done"), Behaviour::answer("done")]).await;
    drop(world.upstreams.remove(0));
    for n in 0..4 {
        let request = world.request(Method::POST, "/once/x", &format!("id-{n}"));
        let answer = send(request.body("a body")).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(world.runs(), 4);
});

case!(the_routes_timeout_ends_a_request, async {
    let world = World::start(PLAIN, &[Behaviour::Hang]).await;
    let mut config = super::world::config(2);
    config["routes"][1]["timeout_ms"] = serde_json::json!(400);
    world.store.put("op", "config", config);
    wait_until("the configuration is in force", async || world.dump().await["config_version"] == 2)
        .await;
    let started = std::time::Instant::now();
    let request = world.request(Method::POST, "/once/x", "id-1").body("a body");
    assert_eq!(send(request).await.expect("an answer").status, 504);
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
});

case!(attempts_and_results_are_counted, async {
    let world = world(&Behaviour::Fail).await;
    send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    let metrics = world.metrics().await;
    for line in [
        "stallhoist_attempts_total{result=\"Failure\"} 1",
        "stallhoist_attempts_total{result=\"Answered\"} 1",
        "stallhoist_requests_total{end=\"Answered\"} 1",
        "stallhoist_retries_total{service=\"plain\",used_for=\"Repeat\",granted=\"true\"} 1",
        "stallhoist_first_part_seconds_count 1",
    ] {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
});

// Guards against gateways that all send to the first upstream: in a large fleet most upstreams have equal cost.
case!(requests_are_spread_over_upstreams_of_equal_cost, async {
    let world = World::start(PLAIN, &vec![Behaviour::answer("done"); 6]).await;
    for n in 0..30 {
        let request = world.request(Method::GET, "/safe/x", &format!("id-{n}"));
        assert_eq!(send(request).await.expect("an answer").status, 200);
    }
    let most = world.upstreams.iter().map(UpstreamStandin::runs).max();
    assert!(most < Some(15), "one upstream got {most:?} of 30");
});
