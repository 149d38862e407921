//! Attempts on engines that are slow, hang, or whose caller leaves.

use std::time::Duration;

use stallhoist_settings::DecisionSettings;
use stallhoist_settings::GatewayRetrySettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::ENGINE;
use super::world::World;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const EVENTS: u64 = 2;

/// A stream whose first event takes `ms`: half of it until the head, as the stand-in pauses before both.
fn paced(ms: u64) -> Behaviour {
    Behaviour::Stream {
        events: EVENTS,
        pause: Duration::from_millis(ms / 2),
        confidence: None,
        truncate_after: None,
    }
}

fn arrivals(world: &World) -> usize {
    world.upstreams.iter().map(|upstream| upstream.arrivals().len()).sum()
}

// The load is a fleet of which all upstreams are equally slow: moving a request only makes another one read its
// prompt again.
case!(while_all_are_slow_nobody_is_moved, async {
    const SLOW: u64 = 2_200;
    let world = World::start(ENGINE, &[paced(1_200), paced(1_200)]).await;
    let mut config = super::world::config(2);
    // Nobody may be moved within 2 s.
    config["routes"][2]["target_latency_ms"] = 1_000.into();
    config["routes"][2]["timeout_ms"] = 20_000.into();
    world.store.put("op", "config", config);
    wait_until("the configuration is in force", async || world.dump().await["config_version"] == 2)
        .await;
    let send_all = async |round: &str| {
        let requests = (0..6).map(|n| send(world.stream_within(&format!("{round}-{n}"), 20_000)));
        futures_util::future::join_all(requests).await
    };
    send_all("warm").await;
    assert_eq!(arrivals(&world), 6, "first chunks come before anybody may be moved");
    for upstream in &world.upstreams {
        upstream.then(std::iter::repeat_n(paced(SLOW), 6));
    }
    let answers = send_all("slow").await;
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
    assert_eq!(arrivals(&world), 12);
    assert_eq!(world.upstreams.iter().map(UpstreamStandin::abandoned).sum::<usize>(), 0);
});

// One upstream hangs while the others are as fast as ever.
case!(an_upstream_that_hangs_is_left_in_time, async {
    let world = World::start(ENGINE, &[paced(20), paced(20)]).await;
    for n in 0..4 {
        send(world.stream(&format!("warm-{n}"))).await.expect("an answer");
    }
    for upstream in &world.upstreams {
        upstream.then([Behaviour::Hang]);
    }
    let started = std::time::Instant::now();
    let first = send(world.stream_within("id-1", 20_000)).await.expect("an answer");
    assert_eq!((first.status, first.is_whole), (200, true));
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    let moved = async || world.upstreams.iter().any(|upstream| upstream.abandoned() > 0);
    wait_until("the one that hangs sees the close", moved).await;
});

// Nothing is sent for a caller that leaves while there is no upstream.
case!(a_caller_that_leaves_before_an_upstream_is_listed_starts_nothing, async {
    let world = World::start(ENGINE, &[paced(20)]).await;
    let row = world.upstreams[0].entry(ENGINE, "zone-1", "v1", "ready");
    let leaving = world.upstreams[0].entry(ENGINE, "zone-1", "v1", "draining");
    world.store.put("servers", "i-0", leaving);
    let is_waiting = async || {
        let request = world.stream("probe").timeout(Duration::from_millis(100));
        send(request).await.is_none()
    };
    wait_until("requests wait for an upstream", is_waiting).await;
    let before = arrivals(&world);
    let request = world.stream("id-1").timeout(Duration::from_millis(100));
    assert!(send(request).await.is_none(), "the caller has left");
    wait_until("the gateway has noticed", async || {
        world.metrics().await.contains("stallhoist_in_progress 0")
    })
    .await;
    world.store.put("servers", "i-0", row);
    let answer = send(world.stream("id-2")).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(arrivals(&world), before + 1);
});

/// The engine time counted for a use, in milliseconds.
async fn engine_time_ms(world: &World, used_for: &str) -> u64 {
    let metrics = world.metrics().await;
    let start =
        format!("stallhoist_engine_time_ms_total{{service=\"{ENGINE}\",used_for=\"{used_for}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&start));
    line.map_or(0, |count| count.parse().expect("a count"))
}

/// Checks that an attempt on one upstream counts as engine time of a use.
macro_rules! counted {
    ($name:ident, $behaviours:expr, $timeout_ms:expr, $uses:expr) => {
        case!($name, async {
            let world = World::start(ENGINE, &[paced(20)]).await;
            world.upstreams[0].then($behaviours);
            let request = world.stream_within("id-1", 4_000);
            let _ = send(request.timeout(Duration::from_millis($timeout_ms))).await;
            for used_for in $uses {
                let is_counted = async || engine_time_ms(&world, used_for).await > 0;
                wait_until(used_for, is_counted).await;
            }
            let others = ["Answered", "SecondLeg", "Replaced", "Repeated", "GivenUp", "Abandoned"];
            for other in others.iter().filter(|other| !$uses.contains(other)) {
                assert_eq!(engine_time_ms(&world, other).await, 0, "{other}");
            }
        });
    };
}

fn poor() -> Behaviour {
    Behaviour::Stream {
        events: EVENTS,
        pause: Duration::ZERO,
        confidence: Some(10),
        truncate_after: None,
    }
}

/// A stream that lasts longer than any caller waits.
fn endless() -> Behaviour {
    Behaviour::Stream {
        events: 1_000,
        pause: Duration::from_millis(100),
        confidence: None,
        truncate_after: None,
    }
}

counted!(a_response_counts_as_answered, [], 4_000, ["Answered"]);
counted!(a_rejection_takes_no_time, [Behaviour::NotExecuted], 4_000, ["Answered"]);
counted!(a_better_model_counts_as_second_leg, [poor()], 4_000, ["Replaced", "SecondLeg"]);
counted!(a_hanging_attempt_counts_as_given_up, [Behaviour::Hang], 4_000, ["GivenUp", "Repeated"]);
counted!(a_caller_gone_before_the_first_chunk, [Behaviour::Hang], 300, ["Abandoned"]);
counted!(a_caller_gone_within_the_stream, [endless()], 2_000, ["Abandoned"]);

/// Checks whether a poor response is replaced after others whose first chunks took `ms`, if second attempts may take a
/// tenth of the engine time of first ones.
macro_rules! replaced {
    ($name:ident, $ms:expr, $expected:expr) => {
        case!($name, async {
            const BEFORE: usize = 8;
            let mut world = World::start(ENGINE, &[paced($ms)]).await;
            let retries = GatewayRetrySettings { fleet_ratio: 0.1, ..Default::default() };
            // Constant expectations, so that the responses before count as late.
            let decisions = DecisionSettings { learns_speeds: false, ..Default::default() };
            let settings = GatewaySettings { retries, decisions, ..settings(&world.store) };
            let mut config = super::world::config(2);
            config["routes"][2]["target_latency_ms"] = 150.into();
            world.store.put("op", "config", config);
            world.gateway = start_gateway_with(settings).await;
            world.wait_until_ready().await;
            for n in 0..BEFORE {
                send(world.stream(&format!("id-{n}"))).await.expect("an answer");
            }
            world.upstreams[0].then([poor()]);
            send(world.stream("poor")).await.expect("an answer");
            assert_eq!(arrivals(&world) - BEFORE, $expected);
        });
    };
}

replaced!(a_poor_response_is_replaced_while_there_is_room, 5, 2);
replaced!(a_poor_response_is_kept_while_engine_time_is_scarce, 700, 1);
