//! An upstream of the platform.

use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;

use super::Behaviour;
use super::CrashRule;
use super::StoreWriter;
use super::server::Body;
use super::server::Server;
use super::upstream_reply::Events;
use super::upstream_reply::Pace;
use super::upstream_reply::cut_body;
use super::upstream_reply::not_executed;
use super::upstream_reply::plain;
use super::upstream_reply::sealed;
use super::upstream_reply::streamed;
use super::upstream_reply::unsealed;
use super::upstream_reply::with_load;

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its method, path and query.
    pub line: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it came.
    pub at: Instant,
    /// Whether the upstream ran it.
    pub is_run: bool,
    /// Whether it was refused with a time to come back.
    pub asked_for_rest: bool,
}

impl Arrival {
    /// A header's value, empty when it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// An end of an upstream's process by a request.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The body of the request.
    pub body: Bytes,
    /// When it was.
    pub at: Instant,
}

/// What an upstream does that ends and starts again.
#[derive(Debug, Clone)]
struct Ending {
    rule: CrashRule,
    /// Where it lists its starts, and its service.
    list: StoreWriter,
    service: String,
    /// When its present start was, by its own clock.
    born_ms: u64,
}

#[derive(Debug)]
struct State {
    usual: Behaviour,
    /// What it says of itself in each answer.
    response_headers: HeaderMap,
    next: VecDeque<Behaviour>,
    arrivals: Vec<Arrival>,
    runs: usize,
    running: u32,
    abandoned: usize,
    ending: Option<Ending>,
    ends: Vec<Crash>,
}

#[derive(Debug)]
struct Process {
    instance: String,
    /// That of its first start: all others are there as well.
    addr: OnceLock<SocketAddr>,
    state: Arc<Mutex<State>>,
    /// None after it has ended, until it has started again.
    server: Mutex<Option<Server>>,
}

/// An upstream of the platform, on loopback. It ends when dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    process: Arc<Process>,
}

/// The first start of an upstream that tells when it was, and the time between two.
const FIRST_BORN_MS: u64 = 1_760_000_000_000;
const BORN_STEP_MS: u64 = 1_000;

impl UpstreamStandin {
    /// Starts an upstream that does the same with each request.
    ///
    /// # Errors
    /// Fails when no port can be listened on.
    pub async fn start(instance: &str, usual: Behaviour) -> io::Result<Self> {
        let state = State {
            usual,
            response_headers: HeaderMap::new(),
            next: VecDeque::new(),
            arrivals: Vec::new(),
            runs: 0,
            running: 0,
            abandoned: 0,
            ending: None,
            ends: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let instance = instance.to_owned();
        let addr = OnceLock::new();
        let process = Arc::new(Process { instance, addr, state, server: Mutex::new(None) });
        process.start().await?;
        Ok(Self { process })
    }

    /// From now on some requests end it. Each of its starts is listed in the store.
    pub fn crash_on(&self, rule: CrashRule, list: StoreWriter, service: &str) {
        let service = service.to_owned();
        let ending = Ending { rule, list, service, born_ms: FIRST_BORN_MS };
        self.process.state.lock().ending = Some(ending);
        self.process.list_start();
    }

    /// When requests have ended it.
    pub fn ends(&self) -> Vec<Crash> {
        self.process.state.lock().ends.clone()
    }

    /// The id of this start of it.
    pub fn instance(&self) -> &str {
        &self.process.instance
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// The entry that it would write into the list.
    pub fn entry(&self, service: &str, zone: &str, version: &str, state: &str) -> Value {
        self.process.entry(service, zone, version, state)
    }

    /// Does these with the next requests, one each; then as usual.
    pub fn then(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.process.state.lock().next.extend(behaviours);
    }

    /// Does as usual from now on, whatever was to come.
    pub fn clear_queued_behaviours(&self) {
        self.process.state.lock().next.clear();
    }

    /// From now on it says this of itself in each answer, whatever it answers.
    ///
    /// # Panics
    /// Panics when `value` cannot stand in a header.
    pub fn set_response_header(&self, name: &'static str, value: &str) {
        let value = HeaderValue::from_str(value).expect("a header's value");
        self.process.state.lock().response_headers.insert(name, value);
    }

    /// From now on it does not say that any more.
    pub fn remove_response_header(&self, name: &'static str) {
        self.process.state.lock().response_headers.remove(name);
    }

    /// The requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.process.state.lock().arrivals.clone()
    }

    /// How many requests it ran.
    pub fn runs(&self) -> usize {
        self.process.state.lock().runs
    }

    /// How many requests were abandoned before their answer had ended.
    pub fn abandoned(&self) -> usize {
        self.process.state.lock().abandoned
    }
}

impl Process {
    async fn start(self: &Arc<Self>) -> io::Result<()> {
        let process = Arc::downgrade(self);
        let handler = move |request| handle(process.clone(), request);
        let server = Server::start_at(self.addr(), handler).await?;
        let _ = self.addr.set(server.addr());
        *self.server.lock() = Some(server);
        Ok(())
    }

    /// Where it listens; any free port before it first has.
    fn addr(&self) -> SocketAddr {
        self.addr.get().copied().unwrap_or_else(|| (Ipv4Addr::LOCALHOST, 0).into())
    }

    fn entry(&self, service: &str, zone: &str, version: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.addr().to_string(), "zone": zone,
            "version": version, "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": 1,
        })
    }

    /// Lists the present start.
    fn list_start(&self) {
        let Some(ending) = self.state.lock().ending.clone() else {
            return;
        };
        let mut entry = self.entry(&ending.service, "zone-1", "v1", "ready");
        entry["born"] = json!(ending.born_ms);
        ending.list.put("servers", &self.instance, entry);
    }

    /// Ends by a request, and starts again after a while.
    fn end_by(self: Arc<Self>, rule: CrashRule, body: Bytes) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            tokio::time::sleep(rule.after).await;
            if rule.keeps_listening {
                self.state.lock().ends.push(Crash { body, at: Instant::now() });
            } else {
                let Some(server) = self.server.lock().take() else {
                    return;
                };
                self.state.lock().ends.push(Crash { body, at: Instant::now() });
                server.end().await;
            }
            tokio::time::sleep(rule.restart_after).await;
            if let Some(ending) = &mut self.state.lock().ending {
                ending.born_ms += BORN_STEP_MS;
            }
            // Its address may be in use for a moment, by a connection that is being closed.
            while !rule.keeps_listening && self.start().await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            tokio::time::sleep(rule.listed_after).await;
            self.list_start();
        })
    }

    /// The rule by which a request ends the process, if it does.
    fn crash_rule(&self, body: &Bytes) -> Option<CrashRule> {
        let rule = self.state.lock().ending.as_ref().map(|ending| ending.rule.clone())?;
        let is_meant = body.starts_with(&rule.body_prefix);
        (is_meant && rand::random_bool(rule.chance)).then_some(rule)
    }
}

/// A request in progress. Counts it as abandoned unless it is finished.
pub(super) struct Running {
    state: Arc<Mutex<State>>,
    pub(super) is_finished: bool,
}

impl Running {
    fn new(state: Arc<Mutex<State>>) -> Self {
        state.lock().running += 1;
        Self { state, is_finished: false }
    }

    /// Requests in progress, this one included.
    pub(super) fn count(&self) -> u32 {
        self.state.lock().running
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.running -= 1;
        state.abandoned += usize::from(!self.is_finished);
    }
}

async fn handle(process: Weak<Process>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let process = process.upgrade().ok_or_else(|| io::Error::other("the upstream has ended"))?;
    let state = Arc::clone(&process.state);
    let mut response = answer(process, request).await?;
    response.headers_mut().extend(state.lock().response_headers.clone());
    Ok(response)
}

async fn answer(process: Arc<Process>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let state = Arc::clone(&process.state);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    let line = format!("{} {path}", head.method);
    let at = Instant::now();
    let mut arrival =
        Arrival { line, headers: head.headers, body, at, is_run: false, asked_for_rest: false };
    let behaviour = take_next(&state, &mut arrival, &process.instance);
    let mut running = Running::new(state);
    if let Some(rule) = process.crash_rule(&arrival.body).filter(|_| arrival.is_run) {
        let (is_at_once, keeps_listening) = (rule.after.is_zero(), rule.keeps_listening);
        tokio::spawn(Arc::clone(&process).end_by(rule, arrival.body.clone()));
        if keeps_listening {
            return Err(io::Error::other("the process has ended"));
        }
        if is_at_once {
            return pending().await;
        }
    }
    drop(process);
    let id = arrival.header("request-id");
    let response = match behaviour {
        Behaviour::Stream { events, pause, confidence, truncate_after } => {
            let from = arrival.header("last-event-id").parse().unwrap_or(0) + 1;
            let pace = Pace { idle_pause: pause, pause_per_request: Duration::ZERO };
            let events = Events { next: from, last: events, pace, truncate_after, running };
            return Ok(streamed(id, confidence, events).await);
        }
        Behaviour::Batch { events, idle_pause, pause_per_request } => {
            let from = arrival.header("last-event-id").parse().unwrap_or(0) + 1;
            let pace = Pace { idle_pause, pause_per_request };
            let events = Events { next: from, last: events, pace, truncate_after: None, running };
            return Ok(with_load(id, events).await);
        }
        Behaviour::Hang => pending().await,
        Behaviour::CutBeforeReply => return Err(io::Error::other("cut")),
        Behaviour::CutBody => return Ok(cut_body(id)),
        Behaviour::Answer { body, after } => {
            tokio::time::sleep(after).await;
            sealed(StatusCode::OK, id, &body)
        }
        Behaviour::Echo { after } => {
            tokio::time::sleep(after).await;
            sealed(StatusCode::OK, id, &format!("answer to {id}"))
        }
        Behaviour::Fail => sealed(StatusCode::INTERNAL_SERVER_ERROR, id, "failed"),
        Behaviour::NotExecuted => not_executed(),
        Behaviour::Misdirected => plain(StatusCode::MISDIRECTED_REQUEST, "another"),
        Behaviour::WrongId => sealed(StatusCode::OK, "another-id", "stale"),
        Behaviour::NoSeal => unsealed(id),
    };
    running.is_finished = true;
    Ok(response)
}

/// Notes a request and says what is done with it. One that is meant for another upstream
/// is not run.
fn take_next(state: &Mutex<State>, arrival: &mut Arrival, instance: &str) -> Behaviour {
    let mut state = state.lock();
    let expected = arrival.header("expect-instance");
    let behaviour = if !expected.is_empty() && expected != instance {
        Behaviour::Misdirected
    } else {
        state.next.pop_front().unwrap_or_else(|| state.usual.clone())
    };
    arrival.is_run = !matches!(behaviour, Behaviour::NotExecuted | Behaviour::Misdirected);
    arrival.asked_for_rest =
        behaviour == Behaviour::NotExecuted && state.response_headers.contains_key(RETRY_AFTER);
    state.runs += usize::from(arrival.is_run);
    state.arrivals.push(arrival.clone());
    behaviour
}
