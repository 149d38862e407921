//! An upstream of the users' platform.

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
use super::CrashTrigger;
use super::StoreWriter;
use super::server::Body;
use super::server::Server;
use super::upstream_reply::EventInterval;
use super::upstream_reply::EventStream;
use super::upstream_reply::cut_body;
use super::upstream_reply::head_only;
use super::upstream_reply::not_executed;
use super::upstream_reply::plain;
use super::upstream_reply::sealed;
use super::upstream_reply::streamed;
use super::upstream_reply::streamed_with_load;
use super::upstream_reply::unsealed;

/// A received request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Method, path and query.
    pub line: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Time of arrival.
    pub at: Instant,
    /// Whether the upstream ran it.
    pub is_run: bool,
    /// Whether it was rejected with a delay before the next attempt.
    pub asked_for_rest: bool,
}

impl Arrival {
    /// Returns a header's value, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Whether the prompt has a part with this id.
    pub fn has_part(&self, id: &str) -> bool {
        let parts = self.header("prompt-prefix").split(',');
        parts.filter_map(|part| part.split_once(':')).any(|(of, _)| of == id)
    }
}

/// A crash of an upstream's process, caused by a request.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The request.
    pub arrival: Arrival,
    /// Time of the crash.
    pub at: Instant,
}

/// How an upstream crashes, restarts and lists itself.
#[derive(Debug, Clone)]
struct CrashSetup {
    rule: CrashRule,
    /// Store in which its incarnations are listed.
    list: StoreWriter,
    service: String,
    /// Start time of the current incarnation by the upstream's clock, in milliseconds since 1970.
    born_ms: u64,
}

#[derive(Debug)]
struct State {
    default_behaviour: Behaviour,
    /// Headers that are added to each response.
    response_headers: HeaderMap,
    next: VecDeque<Behaviour>,
    arrivals: Vec<Arrival>,
    runs: usize,
    running: u32,
    abandoned: usize,
    crash_setup: Option<CrashSetup>,
    ends: Vec<Crash>,
}

#[derive(Debug)]
struct Process {
    instance: String,
    /// Address of the first incarnation, which all later ones reuse.
    addr: OnceLock<SocketAddr>,
    state: Arc<Mutex<State>>,
    /// `None` between a crash and the restart.
    server: Mutex<Option<Server>>,
}

/// A stand-in for an upstream, on loopback. It stops when dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    process: Arc<Process>,
}

/// Reported start time of the first incarnation, and the difference between two successive ones.
const FIRST_BORN_MS: u64 = 1_760_000_000_000;
const BORN_STEP_MS: u64 = 1_000;

impl UpstreamStandin {
    /// Starts an upstream on a free port that handles each request in the same way.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(instance: &str, default_behaviour: Behaviour) -> io::Result<Self> {
        let state = State {
            default_behaviour,
            response_headers: HeaderMap::new(),
            next: VecDeque::new(),
            arrivals: Vec::new(),
            runs: 0,
            running: 0,
            abandoned: 0,
            crash_setup: None,
            ends: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let instance = instance.to_owned();
        let addr = OnceLock::new();
        let process = Arc::new(Process { instance, addr, state, server: Mutex::new(None) });
        process.start().await?;
        Ok(Self { process })
    }

    /// Makes requests that match the rule crash it. Each incarnation is listed in the store.
    pub fn crash_on(&self, rule: CrashRule, list: StoreWriter, service: &str) {
        let service = service.to_owned();
        let crash_setup = CrashSetup { rule, list, service, born_ms: FIRST_BORN_MS };
        self.process.state.lock().crash_setup = Some(crash_setup);
        self.process.list_incarnation();
    }

    /// Returns the crashes so far.
    pub fn ends(&self) -> Vec<Crash> {
        self.process.state.lock().ends.clone()
    }

    /// Returns the instance ID.
    pub fn instance(&self) -> &str {
        &self.process.instance
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// Returns the row with which it lists itself.
    pub fn entry(&self, service: &str, zone: &str, version: &str, state: &str) -> Value {
        self.process.entry(service, zone, version, state)
    }

    /// Queues behaviours for the next requests, one each. Later requests get the default behaviour.
    pub fn then(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.process.state.lock().next.extend(behaviours);
    }

    /// Clears the queue, so that the default behaviour applies again.
    pub fn clear_queued_behaviours(&self) {
        self.process.state.lock().next.clear();
    }

    /// Adds a header to each later response.
    ///
    /// # Panics
    /// Panics if `value` is not a valid header value.
    pub fn set_response_header(&self, name: &'static str, value: &str) {
        let value = HeaderValue::from_str(value).expect("a header's value");
        self.process.state.lock().response_headers.insert(name, value);
    }

    /// Stops adding a header.
    pub fn remove_response_header(&self, name: &'static str) {
        self.process.state.lock().response_headers.remove(name);
    }

    /// Returns the received requests in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.process.state.lock().arrivals.clone()
    }

    /// Returns the number of requests that it ran.
    pub fn runs(&self) -> usize {
        self.process.state.lock().runs
    }

    /// Returns the number of requests that were abandoned before their response ended.
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

    /// Returns the address on which it listens, or a wildcard port on loopback before the first start.
    fn addr(&self) -> SocketAddr {
        self.addr.get().copied().unwrap_or_else(|| (Ipv4Addr::LOCALHOST, 0).into())
    }

    fn entry(&self, service: &str, zone: &str, version: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.addr().to_string(), "zone": zone,
            "version": version, "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": 1,
        })
    }

    /// Lists the current incarnation.
    fn list_incarnation(&self) {
        let Some(crash_setup) = self.state.lock().crash_setup.clone() else {
            return;
        };
        let mut entry = self.entry(&crash_setup.service, "zone-1", "v1", "ready");
        entry["born"] = json!(crash_setup.born_ms);
        crash_setup.list.put("servers", &self.instance, entry);
    }

    /// Crashes because of a request, and restarts as the rule says.
    fn crash(self: Arc<Self>, rule: CrashRule, arrival: Arrival) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            tokio::time::sleep(rule.after).await;
            if rule.keeps_listening {
                self.state.lock().ends.push(Crash { arrival, at: Instant::now() });
            } else {
                let Some(server) = self.server.lock().take() else {
                    return;
                };
                self.state.lock().ends.push(Crash { arrival, at: Instant::now() });
                server.end().await;
            }
            tokio::time::sleep(rule.restart_after).await;
            if let Some(crash_setup) = &mut self.state.lock().crash_setup {
                crash_setup.born_ms += BORN_STEP_MS;
            }
            // The address can be in use for a moment by a connection that is being closed.
            while !rule.keeps_listening && self.start().await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            tokio::time::sleep(rule.listed_after).await;
            self.list_incarnation();
        })
    }

    /// Returns the rule if this request crashes the process.
    fn crash_rule(&self, arrival: &Arrival) -> Option<CrashRule> {
        let rule =
            self.state.lock().crash_setup.as_ref().map(|crash_setup| crash_setup.rule.clone())?;
        let is_fatal = match &rule.trigger {
            CrashTrigger::BodyPrefix(prefix) => arrival.body.starts_with(prefix),
            CrashTrigger::PromptPart(part) => arrival.has_part(part),
        };
        (arrival.is_run && is_fatal && rand::random_bool(rule.chance)).then_some(rule)
    }
}

/// A running request. Dropping it counts the request as abandoned unless it is finished.
pub(super) struct Running {
    state: Arc<Mutex<State>>,
    pub(super) is_finished: bool,
}

impl Running {
    fn new(state: Arc<Mutex<State>>) -> Self {
        state.lock().running += 1;
        Self { state, is_finished: false }
    }

    /// Returns the number of running requests, this one included.
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
    let process = process.upgrade().ok_or_else(|| io::Error::other("the upstream has stopped"))?;
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
    let behaviour = record_arrival(&state, &mut arrival, &process.instance);
    let mut running = Running::new(state);
    if let Some(rule) = process.crash_rule(&arrival) {
        let (is_immediate, keeps_listening) = (rule.after.is_zero(), rule.keeps_listening);
        let stops_at_head = matches!(rule.trigger, CrashTrigger::PromptPart(_));
        tokio::spawn(Arc::clone(&process).crash(rule, arrival.clone()));
        if keeps_listening {
            return Err(io::Error::other("the process has crashed"));
        }
        if is_immediate {
            return pending().await;
        }
        if stops_at_head {
            return Ok(head_only(arrival.header("request-id")));
        }
    }
    drop(process);
    let id = arrival.header("request-id");
    let response = match behaviour {
        Behaviour::Stream { events, pause, confidence, truncate_after } => {
            let from = arrival.header("last-event-id").parse().unwrap_or(0) + 1;
            let interval = EventInterval { idle_pause: pause, pause_per_request: Duration::ZERO };
            let events =
                EventStream { next: from, last: events, interval, truncate_after, running };
            return Ok(streamed(id, confidence, events).await);
        }
        Behaviour::Batch { events, idle_pause, pause_per_request, pace_percent } => {
            let from = arrival.header("last-event-id").parse().unwrap_or(0) + 1;
            let interval = EventInterval { idle_pause, pause_per_request };
            let events =
                EventStream { next: from, last: events, interval, truncate_after: None, running };
            return Ok(streamed_with_load(id, pace_percent, events).await);
        }
        Behaviour::Hang => pending().await,
        Behaviour::CutBeforeReply => {
            return Err(io::Error::other("connection aborted before the response"));
        }
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

/// Records a request and returns its behaviour. A request for another upstream is not run.
fn record_arrival(state: &Mutex<State>, arrival: &mut Arrival, instance: &str) -> Behaviour {
    let mut state = state.lock();
    let expected = arrival.header("expect-instance");
    let behaviour = if !expected.is_empty() && expected != instance {
        Behaviour::Misdirected
    } else {
        state.next.pop_front().unwrap_or_else(|| state.default_behaviour.clone())
    };
    arrival.is_run = !matches!(behaviour, Behaviour::NotExecuted | Behaviour::Misdirected);
    arrival.asked_for_rest =
        behaviour == Behaviour::NotExecuted && state.response_headers.contains_key(RETRY_AFTER);
    state.runs += usize::from(arrival.is_run);
    state.arrivals.push(arrival.clone());
    behaviour
}
