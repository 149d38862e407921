//! Planned stops.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use stallhoist_settings::TimeSpan;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::world::ENGINE;
use super::world::KEY;
use super::world::PLAIN;
use super::world::WAIT_LIMIT;
use super::world::World;
use super::world::events;
use super::world::readiness;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

fn slow_stream(events: u64) -> Behaviour {
    Behaviour::Stream {
        events,
        pause: Duration::from_millis(100),
        confidence: None,
        truncate_after: None,
    }
}

/// Queries readiness as the platform does, until it has learnt that the gateway stops.
async fn fail_readiness_twice(http: &reqwest::Client, ready_addr: &str) {
    for _ in 0..2 {
        assert_eq!(readiness(http, ready_addr).await, 503);
    }
}

case!(requests_in_progress_are_completed, async {
    let world = World::start(ENGINE, &[slow_stream(20)]).await;
    let request = world.stream("id-1");
    let request = tokio::spawn(send(request));
    wait_until("the stream runs", async || world.runs() == 1).await;
    let World { gateway, store, upstreams, .. } = world;
    gateway.leave().wait_for_balancer().await.finish().await;
    let answer = request.await.expect("no panic").expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (events(1, 20), true));
    drop((store, upstreams));
});

case!(a_leaving_gateway_serves_but_is_not_ready, async {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    let request = world.request(Method::GET, "/safe/x", "id-1");
    let World { gateway, store, upstreams, .. } = world;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let ready_addr = gateway.readiness_addr().to_string();
    let leaving = gateway.leave();
    assert_eq!(readiness(&http, &ready_addr).await, 503);
    let answer = send(request).await.expect("an answer");
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    drop((leaving, store, upstreams));
});

// After two negative responses the platform sends no more callers: the rest of the lag is not
// waited for.
case!(an_idle_gateway_ends_once_the_platform_has_reacted, async {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let ready_addr = world.gateway.readiness_addr().to_string();
    let leaving = world.gateway.leave();
    let started = Instant::now();
    fail_readiness_twice(&http, &ready_addr).await;
    leaving.wait_for_balancer().await.finish().await;
    assert!(started.elapsed() < Duration::from_millis(2_000), "{:?}", started.elapsed());
});

// Where all gateways of a zone stop, the platform goes on sending callers to them; 681 of 6,200
// requests were closed unread.
case!(a_new_connection_to_a_draining_gateway_is_served, async {
    let world = World::start(ENGINE, &[slow_stream(20)]).await;
    let in_progress = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream runs", async || world.runs() == 1).await;
    let request = world.request(Method::GET, "/stream/x", "id-2").header("Model", "small");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let World { gateway, store, upstreams, .. } = world;
    upstreams[0].then([Behaviour::stream(2)]);
    let ready_addr = gateway.readiness_addr().to_string();
    let leaving = gateway.leave();
    fail_readiness_twice(&http, &ready_addr).await;
    let draining = leaving.wait_for_balancer().await;
    let answer = send(request).await.expect("it is read and answered");
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    draining.finish().await;
    assert!(in_progress.await.expect("no panic").expect("an answer").is_whole);
    drop((store, upstreams));
});

case!(a_draining_gateway_closes_idle_connections, async {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    let callers_addr = world.gateway.callers_addr();
    let mut idle = TcpStream::connect(callers_addr).await.expect("it connects");
    let head = format!(
        "GET /safe/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    idle.write_all(head.as_bytes()).await.expect("it is sent");
    let mut answer = vec![0; 1_024];
    let read = idle.read(&mut answer).await.expect("it is answered");
    assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
    let ready_addr = world.gateway.readiness_addr().to_string();
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let World { gateway, store, upstreams, .. } = world;
    let leaving = gateway.leave();
    fail_readiness_twice(&http, &ready_addr).await;
    let draining = leaving.wait_for_balancer().await;
    let closed = tokio::time::timeout(WAIT_LIMIT, read_to_end(idle)).await;
    assert!(closed.is_ok(), "it stays open");
    drop((draining, store, upstreams));
});

/// Reads until the other end closes.
async fn read_to_end(mut connection: TcpStream) {
    let mut rest = Vec::new();
    connection.read_to_end(&mut rest).await.expect("it is closed in order");
}

// A gateway without a connection to the store was stopped, and a request that waited for the
// configuration was cut off at its end.
case!(a_stopping_gateway_keeps_no_caller_waiting_for_a_configuration, async {
    let mut world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    world.store.set_fault(Some(StoreFault::Status(503)));
    world.gateway = start_gateway_with(settings(&world.store)).await;
    let request = world.request(Method::GET, "/safe/x", "id-1");
    let World { gateway, store, upstreams, .. } = world;
    let leaving = gateway.leave();
    let answer = send(request).await.expect("an answer");
    assert_eq!((answer.status, answer.header("retry-after")), (503, "4.00"));
    drop((leaving, store, upstreams));
});

case!(a_caller_of_a_stopping_gateway_receives_a_retry_delay, async {
    let mut world = World::start(ENGINE, &[Behaviour::stream(2)]).await;
    let mut settings = settings(&world.store);
    settings.stop.grace = TimeSpan::from_millis(500);
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let request = world.stream("id-1");
    let World { gateway, store, upstreams, .. } = world;
    let leaving = gateway.leave();
    let is_rejected = async || {
        let again = request.try_clone().expect("it can be sent again");
        let answer = send(again).await.expect("an answer");
        (answer.status, answer.header("retry-after")) == (503, "4.00")
    };
    wait_until("the request is rejected", is_rejected).await;
    drop((leaving, store, upstreams));
});

// On a gateway with little processor time some streams were still in progress at its end, and it
// was killed: three servers were stopped one after the other, each within a tenth of a second,
// which is more than the reserve before the kill.
case!(a_gateway_with_work_left_ends_before_the_kill, async {
    const GRACE: Duration = Duration::from_millis(4_000);
    let mut world = World::start(ENGINE, &[slow_stream(600)]).await;
    let mut settings = settings(&world.store);
    settings.stop.grace = TimeSpan::from_millis(GRACE.as_millis() as u64);
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let in_progress = tokio::spawn(send(world.stream("id-1")));
    wait_until("the stream runs", async || world.runs() == 1).await;
    let operators_addr = world.gateway.operators_addr();
    let idle = TcpStream::connect(operators_addr).await.expect("it connects");
    let World { gateway, store, upstreams, .. } = world;
    let requested_at = Instant::now();
    gateway.leave().wait_for_balancer().await.finish().await;
    let left = GRACE.saturating_sub(requested_at.elapsed());
    assert!(left >= Duration::from_millis(50), "only {left:?} were left");
    let cut = in_progress.await.expect("no panic");
    assert!(cut.is_none_or(|answer| !answer.is_whole));
    drop((idle, store, upstreams));
});

// Calls were accepted on the assumption that none takes over 1.5 s, and those that took longer were cut off.
case!(a_call_that_a_stopping_gateway_sends_to_an_upstream_gets_a_response, async {
    const TIME_LIMIT_MS: u64 = 2_000;
    const SENT_EVERY: Duration = Duration::from_millis(50);
    let work = Duration::from_millis(1_900);
    let slow = Behaviour::Answer { body: "done".to_owned(), after: work };
    let mut world = World::start(PLAIN, &[slow]).await;
    let mut settings = settings(&world.store);
    settings.stop.grace = TimeSpan::from_millis(5_500);
    world.gateway = start_gateway_with(settings).await;
    world.wait_until_ready().await;
    let request =
        |n: usize| world.request_within(Method::POST, "/once/x", &format!("id-{n}"), TIME_LIMIT_MS);
    let requests: Vec<_> = (0..120).map(request).collect();
    let World { gateway, store, upstreams, .. } = world;
    let stop =
        tokio::spawn(async move { gateway.leave().wait_for_balancer().await.finish().await });
    let mut ticks = tokio::time::interval(SENT_EVERY);
    let mut answers = Vec::new();
    for request in requests {
        ticks.tick().await;
        if stop.is_finished() {
            break;
        }
        answers.push(tokio::spawn(send(request)));
    }
    stop.await.expect("no panic");
    let arrivals = upstreams[0].arrivals();
    let ran: HashSet<_> = arrivals.iter().map(|arrival| arrival.header("request-id")).collect();
    let mut not_run = 0;
    for (n, answer) in answers.into_iter().enumerate() {
        let answer = answer.await.expect("no panic");
        if ran.contains(format!("id-{n}").as_str()) {
            assert!(answer.is_some_and(|answer| answer.is_whole), "id-{n} ran without a response");
        } else {
            not_run += usize::from(answer.is_some_and(|answer| answer.status == 503));
        }
    }
    assert!(not_run > 0, "what cannot end in time is rejected");
    drop(store);
});

// At the end of its stop the gateway closed connections whose requests it had sent to an upstream.
case!(a_request_in_progress_at_the_end_of_a_stop_gets_a_response, async {
    for path in ["/once/x", "/safe/x"] {
        let mut world = World::start(PLAIN, &[Behaviour::Hang]).await;
        let mut settings = settings(&world.store);
        settings.stop.grace = TimeSpan::from_millis(1_000);
        world.gateway = start_gateway_with(settings).await;
        world.wait_until_ready().await;
        let in_progress = tokio::spawn(send(world.request(Method::GET, path, "id-1")));
        wait_until("the request runs", async || world.runs() == 1).await;
        let World { gateway, store, upstreams, .. } = world;
        gateway.leave().wait_for_balancer().await.finish().await;
        let answer = in_progress.await.expect("no panic").expect("an answer");
        assert_eq!((answer.status, answer.is_whole), (502, true), "{path}");
        assert_eq!(upstreams[0].runs(), 1, "{path}");
        drop(store);
    }
});

// The process ended 0.1 s after the last response was made, however much of it the caller had still to receive.
case!(a_response_that_is_received_slowly_is_completed_by_a_stop, async {
    const BODY_BYTES: usize = 6 << 20;
    const PART_BYTES: usize = 256 << 10;
    const READ_EVERY: Duration = Duration::from_millis(50);
    let world = World::start(PLAIN, &[Behaviour::answer(&"x".repeat(BODY_BYTES))]).await;
    let mut caller = TcpStream::connect(world.gateway.callers_addr()).await.expect("it connects");
    let head = format!(
        "GET /safe/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("it is sent");
    wait_until("the request runs", async || world.runs() == 1).await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let ready_addr = world.gateway.readiness_addr().to_string();
    let World { gateway, store, upstreams, .. } = world;
    let leaving = gateway.leave();
    fail_readiness_twice(&http, &ready_addr).await;
    let stop = tokio::spawn(async { leaving.wait_for_balancer().await.finish().await });
    let mut ticks = tokio::time::interval(READ_EVERY);
    let mut part = vec![0; PART_BYTES];
    let mut received_bytes = 0;
    loop {
        ticks.tick().await;
        match caller.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(count) => received_bytes += count,
        }
    }
    assert!(received_bytes > BODY_BYTES, "{received_bytes} bytes were received");
    stop.await.expect("no panic");
    drop((store, upstreams));
});
