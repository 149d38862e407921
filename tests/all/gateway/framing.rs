//! Responses of upstreams in each framing: with a length, in chunks, or until the connection closes; cut at each byte.
//!
//! A response that was cut must not be passed on as a whole one. What ends with its connection can be told from a cut one
//! only by how the connection ends, and a stream by where it ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use reqwest::Client;
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
use tokio::time::MissedTickBehavior;

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
const WHOLE: &str = "a whole response";

/// How an upstream marks the end of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunks,
    Close,
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Close,
    Reset,
}

/// What the upstream does with the next request: it sends so many bytes of the response only.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cut {
    framing: Framing,
    bytes: usize,
    ending: Ending,
}

/// Bytes that an upstream sends until the other end closes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Endless {
    /// Whether a head and the start of a body come first, in this framing.
    pub(super) after_head: Option<Framing>,
    pub(super) start: &'static str,
    pub(super) repeated: &'static str,
    /// Bytes that are sent in each `ENDLESS_PART_INTERVAL`.
    pub(super) part_bytes: usize,
}

/// What the upstream does with its next request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    Cut(Cut),
    Endless(Endless),
}

/// An upstream that sends responses byte by byte as told.
pub(super) struct RawUpstream {
    addr: SocketAddr,
    next: Arc<Mutex<Option<Fault>>>,
    pub(super) requests: Arc<AtomicUsize>,
    /// Bytes of endless responses that were sent until the other end closed.
    pub(super) endless_bytes: Arc<Mutex<Option<usize>>>,
}

impl RawUpstream {
    async fn start(is_stream: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let next: Arc<Mutex<Option<Fault>>> = Arc::default();
        let requests: Arc<AtomicUsize> = Arc::default();
        let endless_bytes: Arc<Mutex<Option<usize>>> = Arc::default();
        let (faults, counted) = (Arc::clone(&next), Arc::clone(&requests));
        let sent = Arc::clone(&endless_bytes);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (faults, counted) = (Arc::clone(&faults), Arc::clone(&counted));
                tokio::spawn(serve(stream, is_stream, faults, counted, Arc::clone(&sent)));
            }
        });
        Self { addr, next, requests, endless_bytes }
    }
}

/// Serves one request on a connection.
async fn serve(
    stream: TcpStream,
    is_stream: bool,
    next: Arc<Mutex<Option<Fault>>>,
    requests: Arc<AtomicUsize>,
    endless_bytes: Arc<Mutex<Option<usize>>>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    let (mut id, mut from, mut length) = (String::new(), 1, 0);
    loop {
        let mut line = String::new();
        // A connection without a request checks whether the process is there.
        if reader.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            Some(("request-id", value)) => value.clone_into(&mut id),
            Some(("last-event-id", value)) => from = value.parse().unwrap_or(0) + 1,
            Some(("content-length", value)) => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    requests.fetch_add(1, Ordering::SeqCst);
    let body = if is_stream { events(from, EVENTS) } else { WHOLE.to_owned() };
    let fault = next.lock().take();
    let mut stream = reader.into_inner();
    let cut = match fault {
        Some(Fault::Endless(endless)) => {
            let sent = send_endlessly(&mut stream, endless, &id, is_stream).await;
            *endless_bytes.lock() = Some(sent);
            return Ok(());
        }
        Some(Fault::Cut(cut)) => Some(cut),
        None => None,
    };
    let framing = cut.map_or(Framing::Length, |cut| cut.framing);
    let response = response(framing, &id, is_stream, &body);
    let bytes = cut.map_or(response.len(), |cut| cut.bytes);
    stream.write_all(&response[..bytes]).await?;
    match cut.map(|cut| cut.ending) {
        Some(Ending::Reset) => {
            // What was sent must have arrived: a reset discards what the other side has not read.
            let _ = tokio::time::timeout(RESET_DELAY, stream.read(&mut [0])).await;
            stream.set_zero_linger()
        }
        _ => stream.shutdown().await,
    }
}

/// Sends bytes until the other end closes. Returns how many it has taken.
async fn send_endlessly(
    stream: &mut TcpStream,
    endless: Endless,
    id: &str,
    is_stream: bool,
) -> usize {
    let head = endless.after_head.map(|framing| {
        let length = if framing == Framing::Length { "content-length: 1000000000\r\n" } else { "" };
        let chunks = if framing == Framing::Chunks { "transfer-encoding: chunked\r\n" } else { "" };
        format!("{}{length}{chunks}\r\n", head(id, is_stream))
    });
    let mut bytes = format!("{}{}", head.unwrap_or_default(), endless.start).into_bytes();
    let mut sent = 0;
    let part = endless.repeated.repeat(endless.part_bytes / endless.repeated.len());
    let mut ticks = tokio::time::interval(ENDLESS_PART_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while stream.write_all(&bytes).await.is_ok() {
        sent += bytes.len();
        bytes = part.clone().into_bytes();
        ticks.tick().await;
    }
    sent
}

/// Interval between the parts of an endless response: hosts' buffers would hide how much the gateway has read of what
/// comes at full speed.
const ENDLESS_PART_INTERVAL: Duration = Duration::from_millis(2);

/// Time in which what was sent before a reset is read.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// The bytes of a response. The first two chunks of a body in chunks are not whole events.
fn response(framing: Framing, id: &str, is_stream: bool, body: &str) -> Vec<u8> {
    let framed = match framing {
        Framing::Length => format!("content-length: {}\r\n\r\n{body}", body.len()),
        Framing::Close => format!("\r\n{body}"),
        Framing::Chunks => {
            let (first, rest) = body.split_at(5);
            let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
            format!("transfer-encoding: chunked\r\n\r\n{}{}0\r\n\r\n", chunk(first), chunk(rest))
        }
    };
    (head(id, is_stream) + &framed).into_bytes()
}

/// The head of a response, without the fields that tell its end.
fn head(id: &str, is_stream: bool) -> String {
    let kind = if is_stream { "text/event-stream" } else { "text/plain" };
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal.1\r\ncontent-type: {kind}\r\n"
    )
}

/// A gateway before one such upstream.
pub(super) struct World {
    _store: StoreStandin,
    gateway: Gateway,
    pub(super) upstream: RawUpstream,
    http: Client,
    is_stream: bool,
}

impl World {
    pub(super) async fn start(is_stream: bool) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let upstream = RawUpstream::start(is_stream).await;
        let row = json!({
            "service": if is_stream { ENGINE } else { PLAIN }, "address": upstream.addr.to_string(),
            "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "seq": 1,
        });
        store.put("servers", "i-0", row);
        // Each request is sent twice.
        let retries = GatewayRetrySettings { fleet_ratio: 10.0, ..GatewayRetrySettings::default() };
        let settings = GatewaySettings { retries, ..settings(&store) };
        let gateway = start_gateway_with(settings).await;
        let http = Client::builder().no_proxy().build().expect("a client can be made");
        let addr = gateway.readiness_addr().to_string();
        wait_until("it is ready", async || readiness(&http, &addr).await == 200).await;
        let world = Self { _store: store, gateway, upstream, http, is_stream };
        wait_until("the upstream is known", async || world.ask().await.status == 200).await;
        world
    }

    async fn ask(&self) -> Answer {
        let path = if self.is_stream { "stream" } else { "safe" };
        let url = format!("http://{}/{path}/x", self.gateway.callers_addr());
        let request = self.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let id = format!("{:016x}", rand::random::<u64>());
        let request = request.header("Request-Id", id).header("Deadline-Ms", 4_000);
        send(request.body("a request")).await.expect("an answer")
    }

    pub(super) fn whole(&self) -> String {
        if self.is_stream { events(1, EVENTS) } else { WHOLE.to_owned() }
    }

    /// Sends a request whose first response is faulty. Returns what the caller got, and how many requests the upstream had.
    pub(super) async fn ask_with(&self, fault: Fault) -> (Answer, usize) {
        let before = self.upstream.requests.load(Ordering::SeqCst);
        *self.upstream.next.lock() = Some(fault);
        let answer = self.ask().await;
        (answer, self.upstream.requests.load(Ordering::SeqCst) - before)
    }
}

/// Whether a cut response cannot be told from a whole one: it ends with its connection, in a part of the body at which
/// it may end.
fn is_ambiguous(cut: Cut, head_bytes: usize, is_stream: bool, body: &str) -> bool {
    if cut.framing != Framing::Close || cut.ending != Ending::Close || cut.bytes < head_bytes {
        return false;
    }
    let received = &body[..cut.bytes - head_bytes];
    !is_stream || received.ends_with("\n\n")
}

/// Cuts the response at each byte: the caller gets the whole one all the same, as it may be repeated.
async fn cut_at_each_byte(framing: Framing, ending: Ending, is_stream: bool) {
    let world = World::start(is_stream).await;
    let body = world.whole();
    let full = response(framing, &"0".repeat(16), is_stream, &body);
    let head_bytes = full.windows(4).position(|end| end == b"\r\n\r\n").expect("a head") + 4;
    for bytes in 0..full.len() {
        let cut = Cut { framing, bytes, ending };
        if is_ambiguous(cut, head_bytes, is_stream, &body) {
            continue;
        }
        let (answer, requests) = world.ask_with(Fault::Cut(cut)).await;
        assert_eq!((answer.status, answer.is_whole, requests), (200, true, 2), "{cut:?}");
        assert_eq!(answer.body, body, "{cut:?}");
    }
    let whole = Cut { framing, bytes: full.len(), ending: Ending::Close };
    let (answer, requests) = world.ask_with(Fault::Cut(whole)).await;
    assert_eq!((answer.body, answer.is_whole, requests), (body, true, 1));
}

case!(whole_responses_with_a_length, { cut_at_each_byte(Framing::Length, Ending::Close, false) });
case!(whole_responses_in_chunks, { cut_at_each_byte(Framing::Chunks, Ending::Close, false) });
case!(whole_responses_until_the_end, { cut_at_each_byte(Framing::Close, Ending::Close, false) });
case!(whole_responses_with_a_length_reset, {
    cut_at_each_byte(Framing::Length, Ending::Reset, false)
});
case!(whole_responses_in_chunks_reset, { cut_at_each_byte(Framing::Chunks, Ending::Reset, false) });
case!(whole_responses_until_the_end_reset, {
    cut_at_each_byte(Framing::Close, Ending::Reset, false)
});
case!(streams_with_a_length, { cut_at_each_byte(Framing::Length, Ending::Close, true) });
case!(streams_in_chunks, { cut_at_each_byte(Framing::Chunks, Ending::Close, true) });
case!(streams_until_the_end, { cut_at_each_byte(Framing::Close, Ending::Close, true) });
case!(streams_with_a_length_reset, { cut_at_each_byte(Framing::Length, Ending::Reset, true) });
case!(streams_in_chunks_reset, { cut_at_each_byte(Framing::Chunks, Ending::Reset, true) });
case!(streams_until_the_end_reset, { cut_at_each_byte(Framing::Close, Ending::Reset, true) });
