//! HTTP interface of the platform's store.

use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use super::server::Body;
use super::server::Server;
use super::store_state::LostWrites;
use super::store_state::StoreCopy;
use super::store_state::StoreFault;
use super::store_state::StoreState;

/// Number of times that the store was restored from a copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

#[derive(Debug)]
struct Shared {
    state: Mutex<StoreState>,
    changed: Notify,
    started: Instant,
}

/// A stand-in for the platform's store, on loopback. It stops when dropped.
#[derive(Debug)]
pub struct StoreStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

/// A handle that writes rows to a store.
#[derive(Debug, Clone)]
pub struct StoreWriter(Arc<Shared>);

impl StoreWriter {
    /// Writes a row on behalf of an operator or an upstream.
    pub fn put(&self, table: &str, key: &str, value: Value) {
        self.0.state.lock().put(table, key, value);
        self.0.changed.notify_waiters();
    }
}

impl StoreStandin {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
        });
        let of_handler = Arc::clone(&shared);
        let server = Server::start(move |request| handle(Arc::clone(&of_handler), request)).await?;
        Ok(Self { addr: server.addr(), shared, _server: server })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a row on behalf of an operator or an upstream.
    pub fn put(&self, table: &str, key: &str, value: Value) {
        self.writer().put(table, key, value);
    }

    /// Returns a handle with which upstreams list themselves.
    pub fn writer(&self) -> StoreWriter {
        StoreWriter(Arc::clone(&self.shared))
    }

    /// Writes a row whose raw value is returned as is, without encoding. It can be malformed.
    pub fn put_raw(&self, table: &str, key: &str, raw: &str) {
        self.shared.state.lock().put_raw(table, key, raw);
        self.shared.changed.notify_waiters();
    }

    /// Writes a row that calls can no longer change: their writes succeed without effect.
    pub fn pin(&self, table: &str, key: &str, value: Value) {
        let mut state = self.shared.state.lock();
        state.put(table, key, value);
        state.pinned.insert((table.to_owned(), key.to_owned()));
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes a row on behalf of an operator or an upstream.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.state.lock().remove(table, key);
        self.shared.changed.notify_waiters();
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        self.shared.state.lock().get(table, key)
    }

    /// Returns the values of all rows of a table.
    pub fn table(&self, table: &str) -> Vec<Value> {
        self.shared.state.lock().values(table)
    }

    /// Returns the keys of all rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.shared.state.lock().keys(table)
    }

    /// Sets or clears a fault.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.shared.state.lock().fault = fault;
        self.shared.changed.notify_waiters();
    }

    /// Drops the history of changes, so that followers have to read the tables anew.
    pub fn clear_history(&self) {
        self.shared.state.lock().clear_history();
        self.shared.changed.notify_waiters();
    }

    /// Copies the current contents.
    pub fn copy(&self) -> StoreCopy {
        self.shared.state.lock().copy()
    }

    /// Restores the store from a copy: later writes are lost, and pending calls are aborted. Returns the lost
    /// writes of operators and upstreams.
    pub fn restore_from(&self, copy: StoreCopy) -> LostWrites {
        let lost = self.shared.state.lock().restore_from(copy);
        self.shared.changed.notify_waiters();
        lost
    }

    /// Reports another era than the actual one; `None` reports the actual one again.
    pub fn override_era(&self, era: Option<u64>) {
        self.shared.state.lock().era_override = era;
        self.shared.changed.notify_waiters();
    }

    /// Repeats the lost writes of operators and upstreams.
    pub fn replay_writes(&self, lost: LostWrites) {
        self.shared.state.lock().replay_writes(lost);
        self.shared.changed.notify_waiters();
    }

    /// Returns the paths and queries of all calls so far.
    pub fn calls(&self) -> Vec<String> {
        self.shared.state.lock().calls.clone()
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let era = shared.state.lock().era();
    let mut answer = handle_call(&shared, request).await?;
    if shared.state.lock().era() != era {
        return Err(store_unavailable());
    }
    let era = shared.state.lock().era_override.unwrap_or(era);
    answer.headers_mut().insert(STORE_ERA, HeaderValue::from(era));
    Ok(answer)
}

async fn handle_call(shared: &Shared, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let query = parse_query(&head.uri);
    let called = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    shared.state.lock().calls.push(called);
    let table = query.get("table").cloned().unwrap_or_default();
    if let Some(answer) = fault(shared, &table, &body).await {
        return answer;
    }
    match (head.method, head.uri.path()) {
        (Method::GET, "/api/rows-get") => {
            let from = query.get("from").cloned().unwrap_or_default();
            let limit = query.get("limit").and_then(|v| v.parse().ok()).unwrap_or(usize::MAX);
            let state = shared.state.lock();
            let mut rows = state.read(&table, &from);
            let has_more = rows.len() > limit;
            rows.truncate(limit);
            let mut reply = page(shared, &state, rows);
            reply["more"] = json!(has_more);
            Ok(answer(StatusCode::OK, reply))
        }
        (Method::GET, "/api/rows-feed") => feed(shared, &table, &query).await,
        (Method::POST, "/api/rows-tx") => transact(shared, &body),
        _ => Ok(answer(StatusCode::NOT_FOUND, Value::Null)),
    }
}

/// Applies the active fault to a call. Returns `None` if the call is to be handled normally.
async fn fault(shared: &Shared, table: &str, body: &Bytes) -> Option<io::Result<Response<Body>>> {
    let fault = shared.state.lock().fault.clone()?;
    match fault {
        StoreFault::Status(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            Some(Ok(answer(status, Value::Null)))
        }
        StoreFault::Silent => pending().await,
        StoreFault::SilentTable(silent) if silent == table => pending().await,
        StoreFault::LoseWriteAnswers if !body.is_empty() => {
            let transaction = serde_json::from_slice(body).unwrap_or_default();
            shared.state.lock().transact(&transaction);
            shared.changed.notify_waiters();
            Some(Err(io::Error::other("response dropped by a fault")))
        }
        StoreFault::SilentTable(_) | StoreFault::LoseWriteAnswers => None,
    }
}

async fn feed(
    shared: &Shared,
    table: &str,
    query: &HashMap<String, String>,
) -> io::Result<Response<Body>> {
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let until = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
    let era = shared.state.lock().era();
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.state.lock();
            let Some(rows) = state.changes(table, after) else {
                return Ok(answer(StatusCode::GONE, Value::Null));
            };
            if !rows.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(answer(StatusCode::OK, page(shared, &state, rows)));
            }
        }
        let _ = tokio::time::timeout_at(until, changed).await;
        let state = shared.state.lock();
        if state.fault.is_some() || state.era() != era {
            return Err(store_unavailable());
        }
    }
}

fn store_unavailable() -> io::Error {
    io::Error::other("the store became unavailable during the call")
}

fn transact(shared: &Shared, body: &Bytes) -> io::Result<Response<Body>> {
    let transaction: Value = serde_json::from_slice(body)?;
    let mut state = shared.state.lock();
    let holds = state.transact(&transaction);
    let reply = page(shared, &state, Vec::new());
    drop(state);
    shared.changed.notify_waiters();
    let status = if holds { StatusCode::OK } else { StatusCode::PRECONDITION_FAILED };
    Ok(answer(status, reply))
}

fn page(shared: &Shared, state: &StoreState, rows: Vec<Value>) -> Value {
    let now_ms = shared.started.elapsed().as_millis() as u64;
    json!({ "rows": rows, "more": false, "ver": state.version(), "now_ms": now_ms })
}

fn answer(status: StatusCode, value: Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string()));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn parse_query(uri: &Uri) -> HashMap<String, String> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
