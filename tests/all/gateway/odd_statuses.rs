//! Upstreams in trouble whose responses have no valid status: callers never get them as responses.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::json;
use stallhoist_gateway::Gateway;
use stallhoist_settings::GatewayRetrySettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::users_platform::StoreStandin;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::world::Answer;
use super::world::ENGINE;
use super::world::KEY;
use super::world::PLAIN;
use super::world::config;
use super::world::events;
use super::world::readiness;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const EVENTS: u64 = 3;

/// Statuses that no HTTP response may end with.
const INVALID: [&str; 8] = ["000", "001", "099", "20", "2000", "-01", "101", "abc"];

/// What an upstream sends in place of a response.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// A response with this status.
    Status(&'static str),
    /// A stream that breaks off after its first event.
    OneEvent,
}

/// Upstreams that send the next of these replies each, and whole responses when there is none left.
type Replies = Arc<Mutex<VecDeque<Reply>>>;

async fn start_upstream(replies: Replies) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&replies)));
        }
    });
    addr
}

async fn serve(stream: TcpStream, replies: Replies) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let (mut id, mut from, mut length, mut is_stream) = (String::new(), 1, 0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let line = line.trim_end();
        is_stream |= line.contains("stream/x");
        match line.split_once(": ") {
            Some(("request-id", value)) => value.clone_into(&mut id),
            Some(("last-event-id", value)) => from = value.parse().unwrap_or(0) + 1,
            Some(("content-length", value)) => length = value.parse().unwrap_or(0),
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).await?;
    let reply = replies.lock().pop_front();
    let status = if let Some(Reply::Status(status)) = reply { status } else { "200" };
    let last = if let Some(Reply::OneEvent) = reply { 1 } else { EVENTS };
    let body = if is_stream { events(from, last) } else { "done".to_owned() };
    let length = if is_stream { events(from, EVENTS).len() } else { body.len() };
    let response = format!(
        "HTTP/1.1 {status} Status\r\nrequest-id: {id}\r\nresponse-seal: seal.1\r\n\
         content-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut stream = reader.into_inner();
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await
}

/// A gateway with two such upstreams of each service.
struct World {
    _store: StoreStandin,
    gateway: Gateway,
    replies: Replies,
    http: reqwest::Client,
}

impl World {
    async fn start() -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let replies = Replies::default();
        for (n, service) in [ENGINE, ENGINE, PLAIN, PLAIN].into_iter().enumerate() {
            let addr = start_upstream(Arc::clone(&replies)).await;
            let row = json!({
                "service": service, "address": addr.to_string(), "zone": "zone-1", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            });
            store.put("servers", &format!("i-{n}"), row);
        }
        let retries = GatewayRetrySettings { fleet_ratio: 10.0, ..GatewayRetrySettings::default() };
        let gateway = start_gateway_with(GatewaySettings { retries, ..settings(&store) }).await;
        let http = reqwest::Client::builder().no_proxy().build().expect("a client");
        let addr = gateway.readiness_addr().to_string();
        wait_until("it is ready", async || readiness(&http, &addr).await == 200).await;
        let world = Self { _store: store, gateway, replies, http };
        for path in ["safe", "stream"] {
            wait_until("it serves", async || world.ask(path, []).await.status == 200).await;
        }
        world
    }

    /// Sends a request that gets these replies first.
    async fn ask(&self, path: &str, replies: impl IntoIterator<Item = Reply>) -> Answer {
        *self.replies.lock() = replies.into_iter().collect();
        let url = format!("http://{}/{path}/x", self.gateway.callers_addr());
        let request = self.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let id = format!("{:016x}", rand::random::<u64>());
        let request = request.header("Request-Id", id).header("Deadline-Ms", 4_000);
        send(request.body("a request")).await.expect("an answer")
    }
}

case!(a_request_that_may_run_once_gets_502, async {
    let world = World::start().await;
    for status in INVALID {
        for path in ["once", "once-stream"] {
            let answer = world.ask(path, [Reply::Status(status)]).await;
            assert_eq!(answer.status, 502, "{status} on {path}: {answer:?}");
            assert_eq!(answer.header("response-seal"), "");
        }
    }
});

case!(a_request_that_may_be_repeated_is_served_elsewhere, async {
    let world = World::start().await;
    for status in INVALID {
        for (path, body) in [("safe", "done".to_owned()), ("stream", events(1, EVENTS))] {
            let answer = world.ask(path, [Reply::Status(status)]).await;
            assert_eq!((answer.status, answer.body), (200, body), "{status} on {path}");
        }
    }
});

case!(a_stream_is_resumed_past_an_invalid_status, async {
    let world = World::start().await;
    for status in INVALID {
        let answer = world.ask("stream", [Reply::OneEvent, Reply::Status(status)]).await;
        assert_eq!((answer.status, answer.is_whole), (200, true), "{status}: {answer:?}");
        assert_eq!(answer.body, events(1, EVENTS), "{status}");
    }
});

case!(a_stream_that_cannot_be_resumed_does_not_look_complete, async {
    let world = World::start().await;
    let replies = [Reply::OneEvent, Reply::Status("000"), Reply::Status("000")];
    let answer = world.ask("stream", replies).await;
    assert!(!answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, events(1, 1));
});
