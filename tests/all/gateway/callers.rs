//! Requests that are rejected without reaching an upstream, and callers that disconnect.

use std::time::Duration;

use reqwest::Method;
use reqwest::RequestBuilder;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;
use stallhoist_standins::users_platform::StoreStandin;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::world::PLAIN;
use super::world::World;
use super::world::send;
use super::world::start_gateway;
use crate::case::case;
use crate::harness::wait_until;

async fn world() -> World {
    World::start(PLAIN, &[Behaviour::answer("done")]).await
}

/// Checks that a request gets this status and reaches no upstream.
macro_rules! rejected {
    ($name:ident, $status:expr, $request:expr) => {
        case!($name, async {
            let world = world().await;
            let make: fn(&World) -> RequestBuilder = $request;
            let answer = send(make(&world)).await.expect("an answer");
            assert_eq!(answer.status, $status, "{answer:?}");
            assert_eq!(answer.header("response-seal"), "");
            assert_eq!(world.upstreams[0].arrivals().len(), 0);
        });
    };
}

rejected!(an_unknown_path, 404, |w| w.request(Method::GET, "/nowhere/x", "id-1"));
rejected!(a_body_that_is_too_long, 413, |w| {
    w.request(Method::POST, "/once/x", "id-1").body("x".repeat(10_001))
});
rejected!(a_head_that_is_too_long, 431, |w| {
    w.request(Method::GET, "/safe/x", "id-1").header("X-Long", "x".repeat(5_000))
});
rejected!(a_non_numeric_token_count, 400, |w| {
    w.request(Method::GET, "/safe/x", "id-1").header("Token-Usage", "many")
});

case!(a_missing_or_unknown_key, async {
    let world = world().await;
    let url = format!("http://{}/safe/x", world.gateway.callers_addr());
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let request = http.get(url).header("Host", "test.example").header("Request-Id", "id-1");
    let none = send(request.try_clone().expect("no body")).await.expect("an answer");
    let wrong = send(request.bearer_auth("another")).await.expect("an answer");
    assert_eq!((none.status, wrong.status), (401, 401));
    assert_eq!(world.runs(), 0);
});

case!(a_request_without_an_id, async {
    let world = world().await;
    let reply = raw(&world, "GET /safe/x HTTP/1.1\r\nHost: test.example\r\n\r\n").await;
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert_eq!(world.runs(), 0);
});

/// Checks that bytes which are not a valid request reach no upstream, and that the connection is closed.
macro_rules! malformed {
    ($name:ident, $bytes:expr) => {
        case!($name, async {
            let world = world().await;
            let reply = raw(&world, $bytes).await;
            assert!(!reply.contains(" 200 "), "{reply}");
            assert_eq!(world.runs(), 0);
        });
    };
}

case!(a_truncated_head, async {
    let world = world().await;
    let mut stream = connect(&world).await;
    stream.write_all(b"GET /safe/x HTT").await.expect("the bytes are sent");
    stream.shutdown().await.expect("the end is sent");
    let reply = read_all(&mut stream).await;
    assert!(!reply.contains(" 200 "), "{reply}");
    assert_eq!(world.runs(), 0);
});

malformed!(a_space_before_the_colon, "GET /safe/x HTTP/1.1\r\nHost : test.example\r\n\r\n");
malformed!(no_host, "GET /safe/x HTTP/1.1\r\nConnection: close\r\nRequest-Id: id-1\r\n\r\n");
malformed!(
    two_lengths,
    "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
     Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"
);
malformed!(
    a_chunk_without_a_length,
    "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
     Authorization: Bearer key-of-workspace-1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
);

// Guards against request smuggling: the body of a request with both a length and chunked encoding must never be
// taken for a second request.
case!(a_smuggled_request_is_not_run, async {
    let world = world().await;
    let inner = "GET /safe/smuggled HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-2\r\n\
                 Authorization: Bearer key-of-workspace-1\r\n\r\n";
    let outer = format!(
        "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
         Authorization: Bearer key-of-workspace-1\r\nConnection: close\r\n\
         Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    let reply = raw(&world, &outer).await;
    assert!(reply.starts_with("HTTP/1.1 "), "{reply}");
    let lines: Vec<_> = world.upstreams[0].arrivals().iter().map(|a| a.line.clone()).collect();
    assert!(!lines.iter().any(|line| line.contains("smuggled")), "{lines:?}");
});

case!(chunked_bodies_are_accepted, async {
    let world = world().await;
    let request = "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: id-1\r\n\
                   Authorization: Bearer key-of-workspace-1\r\nConnection: close\r\n\
                   Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let reply = raw(&world, request).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert_eq!(&world.upstreams[0].arrivals()[0].body[..], b"abcde");
});

case!(a_gateway_without_configuration_rejects_with_a_retry_after, async {
    let store = StoreStandin::start().await.expect("the store starts");
    store.set_fault(Some(StoreFault::Silent));
    let gateway = start_gateway(&store).await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let url = format!("http://{}/safe/x", gateway.callers_addr());
    let answer = send(http.get(url).header("Request-Id", "id-1")).await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), "0.30");
    let ready = super::world::readiness(&http, &gateway.readiness_addr().to_string()).await;
    assert_eq!(ready, 503);
});

case!(a_caller_that_disconnects_cancels_its_request, async {
    let world = World::start(PLAIN, &[Behaviour::Hang]).await;
    let request = world.request(Method::GET, "/safe/x", "id-1").timeout(Duration::from_millis(200));
    assert!(send(request).await.is_none(), "the caller has disconnected");
    wait_until("the upstream detects it", async || world.upstreams[0].abandoned() == 1).await;
    assert_eq!(world.runs(), 1);
});

case!(a_caller_that_disconnects_cancels_its_stream, async {
    let slow = Behaviour::Stream {
        events: 1_000,
        pause: Duration::from_millis(20),
        confidence: None,
        truncate_after: None,
    };
    let world = World::start(super::world::ENGINE, &[slow]).await;
    let request = world.stream("id-1").timeout(Duration::from_millis(300));
    let answer = send(request).await.expect("the head is received");
    assert!(!answer.is_whole);
    wait_until("it is counted", async || {
        world.metrics().await.contains("stallhoist_requests_total{end=\"Abandoned\"} 1")
    })
    .await;
    wait_until("the upstream detects it", async || world.upstreams[0].abandoned() == 1).await;
});

async fn connect(world: &World) -> TcpStream {
    TcpStream::connect(world.gateway.callers_addr()).await.expect("it listens")
}

/// Sends bytes unchanged, and reads until the other side closes the connection.
async fn raw(world: &World, bytes: &str) -> String {
    let mut stream = connect(world).await;
    stream.write_all(bytes.as_bytes()).await.expect("the bytes are sent");
    read_all(&mut stream).await
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    // A reset connection ends the response as well.
    let _ = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}
