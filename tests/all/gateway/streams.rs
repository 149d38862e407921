//! Event streams: complete, resumed and broken ones, and the model that generates them.

use std::time::Duration;

use reqwest::Method;
use stallhoist_standins::users_platform::Behaviour;

use super::world::ENGINE;
use super::world::World;
use super::world::events;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

const EVENTS: u64 = 6;

fn truncate_after(last: u64) -> Behaviour {
    Behaviour::Stream {
        events: EVENTS,
        pause: Duration::ZERO,
        confidence: None,
        truncate_after: Some(last),
    }
}

fn with_confidence(confidence: u8) -> Behaviour {
    Behaviour::Stream {
        events: EVENTS,
        pause: Duration::ZERO,
        confidence: Some(confidence),
        truncate_after: None,
    }
}

/// Checks that a stream is complete although its first attempt meets a fault.
macro_rules! complete_stream {
    ($name:ident, $fault:expr) => {
        case!($name, async {
            let world = World::start(ENGINE, &[Behaviour::stream(EVENTS)]).await;
            world.upstreams[0].then([$fault]);
            let answer = send(world.stream("id-1")).await.expect("an answer");
            assert_eq!((answer.status, answer.is_whole), (200, true));
            assert_eq!(answer.body, events(1, EVENTS));
        });
    };
}

complete_stream!(without_a_fault, Behaviour::stream(EVENTS));
complete_stream!(torn_inside_the_first_event, truncate_after(0));
complete_stream!(torn_inside_the_third_event, truncate_after(2));
complete_stream!(torn_inside_the_last_event, truncate_after(EVENTS - 1));
complete_stream!(failed_before_the_first_event, Behaviour::Fail);
complete_stream!(refused_before_the_first_event, Behaviour::NotExecuted);
complete_stream!(cut_before_the_reply, Behaviour::CutBeforeReply);
complete_stream!(reply_to_another_request, Behaviour::WrongId);
complete_stream!(silent_before_the_first_event, Behaviour::Hang);

case!(a_stream_resumes_after_the_last_complete_event, async {
    let world = World::start(ENGINE, &[Behaviour::stream(EVENTS)]).await;
    world.upstreams[0].then([truncate_after(4)]);
    send(world.stream("id-1")).await.expect("an answer");
    let arrivals = world.upstreams[0].arrivals();
    assert_eq!(arrivals.len(), 2);
    assert_eq!(arrivals[1].header("last-event-id"), "4");
    assert_eq!(arrivals[0].header("model"), arrivals[1].header("model"));
});

case!(a_callers_resume_is_forwarded, async {
    let world = World::start(ENGINE, &[Behaviour::stream(EVENTS)]).await;
    let answer = send(world.stream("id-1").header("Last-Event-Id", "3")).await;
    assert_eq!(answer.expect("an answer").body, events(4, EVENTS));
});

// The stream would have to restart, but the caller has received a part of it already.
case!(a_stream_that_may_not_be_resumed_breaks_visibly, async {
    let world = World::start(ENGINE, &[Behaviour::stream(EVENTS)]).await;
    world.upstreams[0].then([truncate_after(2)]);
    let request = world.request(Method::POST, "/once-stream/x", "id-1").body("a prompt");
    let answer = send(request).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, false));
    assert_eq!(answer.body, events(1, 2));
    assert_eq!(world.runs(), 1);
});

case!(a_stream_that_breaks_everywhere_breaks_visibly, async {
    let world = World::start(ENGINE, &[truncate_after(1)]).await;
    let answer = send(world.stream("id-1")).await.expect("an answer");
    assert!(!answer.is_whole);
    assert_eq!(world.runs(), 3, "as many attempts as the route allows");
});

case!(a_silent_stream_resumes_on_another_upstream, async {
    let stalls = Behaviour::Stream {
        events: EVENTS,
        pause: Duration::from_millis(2_700),
        confidence: None,
        truncate_after: None,
    };
    let world = World::start(ENGINE, &[stalls.clone(), stalls]).await;
    let mut config = super::world::config(2);
    config["routes"][2]["target_latency_ms"] = serde_json::json!(3_000);
    config["routes"][2]["timeout_ms"] = serde_json::json!(15_000);
    world.store.put("op", "config", config);
    wait_until("the configuration is in force", async || world.dump().await["config_version"] == 2)
        .await;
    let request = tokio::spawn(send(world.stream_within("id-1", 15_000)));
    let (silent, other) = world.wait_for_only_run().await;
    world.upstreams[other].then([Behaviour::stream(EVENTS)]);
    let answer = request.await.expect("it ends").expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (events(1, EVENTS), true));
    assert_eq!((world.upstreams[silent].runs(), world.upstreams[other].runs()), (1, 1));
    wait_until("the silent stream is abandoned", async || world.upstreams[silent].abandoned() == 1)
        .await;
});

case!(a_poor_response_is_replaced_by_the_best_model, async {
    let world = World::start(ENGINE, &[with_confidence(90)]).await;
    world.upstreams[0].then([with_confidence(10)]);
    let answer = send(world.stream("id-1")).await.expect("an answer");
    assert_eq!(answer.body, events(1, EVENTS));
    let arrivals = world.upstreams[0].arrivals();
    let models: Vec<_> = arrivals.iter().map(|arrival| arrival.header("model")).collect();
    assert_eq!(models, ["small", "large"]);
    let is_abandoned = async || world.upstreams[0].abandoned() == 1;
    wait_until("the poor response is abandoned before its end", is_abandoned).await;
});

// A response of low confidence was dropped and the request run again, although its route allows a single run.
case!(a_poor_response_of_a_request_that_may_run_once_is_delivered, async {
    let world = World::start(ENGINE, &[with_confidence(10)]).await;
    let answer = send(world.once_stream_within("id-1", 4_000).header("Model", "*")).await;
    assert_eq!(answer.expect("an answer").body, events(1, EVENTS));
    assert_eq!(world.runs(), 1);
});

// Its response cannot be replaced if it is poor.
case!(a_request_that_may_run_once_uses_the_best_model, async {
    let world = World::start(ENGINE, &[with_confidence(90)]).await;
    let request = world.once_stream_within("id-1", 4_000).header("Model", "*");
    send(request.header("Token-Usage", "100,20").header("Prompt-Prefix", "a1:60,b2:40"))
        .await
        .expect("an answer");
    assert_eq!(world.upstreams[0].arrivals()[0].header("model"), "large");
});

case!(streams_are_counted_and_timed, async {
    let world = World::start(ENGINE, &[Behaviour::stream(EVENTS)]).await;
    send(world.stream("id-1")).await.expect("an answer");
    let metrics = world.metrics().await;
    for line in
        ["stallhoist_requests_total{end=\"Answered\"} 1", "stallhoist_first_part_seconds_count 1"]
    {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
});

case!(a_good_response_of_the_smallest_model_is_kept, async {
    let world = World::start(ENGINE, &[with_confidence(90)]).await;
    send(world.stream("id-1")).await.expect("an answer");
    assert_eq!(world.runs(), 1);
});

// With one attempt left, a poor response of the smallest model could not be replaced.
case!(the_last_attempt_uses_the_best_model, async {
    let world = World::start(ENGINE, &[with_confidence(10)]).await;
    world.upstreams[0].then([Behaviour::Fail, Behaviour::Fail]);
    send(world.stream("id-1")).await.expect("an answer");
    let arrivals = world.upstreams[0].arrivals();
    assert_eq!(arrivals.last().map(|arrival| arrival.header("model")), Some("large"));
});

// Guards against an upstream that hangs and takes all the time of a caller that waits for two target
// latencies, so that none is left for another upstream.
case!(an_upstream_that_hangs_leaves_time_for_another, async {
    const CALLER_TIMEOUT_MS: u64 = 1_000;
    let world = World::start(ENGINE, &[Behaviour::Hang, Behaviour::stream(3)]).await;
    for n in 0..6 {
        let answer = send(world.stream_within(&format!("id-{n}"), CALLER_TIMEOUT_MS)).await;
        let answer = answer.expect("an answer");
        assert_eq!((n, answer.status, answer.is_whole), (n, 200, true));
    }
    assert!(world.upstreams[0].runs() > 0, "none was sent to the one that hangs");
});
