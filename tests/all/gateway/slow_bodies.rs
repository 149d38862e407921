//! Callers whose request bodies do not come in the time that the request has.

use std::time::Duration;

use stallhoist_standins::users_platform::Behaviour;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::world::KEY;
use super::world::PLAIN;
use super::world::WAIT_LIMIT;
use super::world::World;
use crate::case::case;

/// The head of a request with an announced body.
fn head(deadline: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: a-request\r\n{deadline}\
         Authorization: Bearer {KEY}\r\nContent-Length: 1000\r\n\r\n"
    )
}

/// Sends a part of a request, and then a byte at a time if `trickles`, until the gateway closes the connection. Returns what
/// the gateway sent.
async fn response_to(deadline: &str, trickles: bool) -> String {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    let stream = TcpStream::connect(world.gateway.callers_addr()).await.expect("it listens");
    let (mut reader, mut writer) = stream.into_split();
    writer.write_all(head(deadline).as_bytes()).await.expect("it is read");
    let trickle = tokio::spawn(async move {
        let mut bytes = tokio::time::interval(Duration::from_millis(20));
        while trickles && writer.write_all(b"a").await.is_ok() {
            bytes.tick().await;
        }
        writer
    });
    let mut response = Vec::new();
    let read = tokio::time::timeout(WAIT_LIMIT, reader.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open");
    trickle.abort();
    assert_eq!(world.runs(), 0);
    String::from_utf8_lossy(&response).into_owned()
}

case!(a_body_that_stops_gets_408_at_the_deadline, async {
    let response = response_to("Deadline-Ms: 300\r\n", false).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
});

case!(a_body_that_trickles_gets_408_at_the_deadline, async {
    let response = response_to("Deadline-Ms: 300\r\n", true).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
});

case!(a_body_that_stops_gets_408_at_the_routes_timeout, async {
    let response = response_to("", false).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
});
