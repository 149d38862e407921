//! A stand-in for the platform's store.
//!
//! Each gateway gets an address of its own, so that the store can leave the calls of one machine without a response
//! while it serves the others and the operator. An answer that falls into such a time is lost, and its connection
//! says nothing more; calls on new connections are answered again as soon as it is over.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;
use crate::http::Request;
use crate::json::Json;
use crate::record::Record;

/// The longest wait of a follow call, by the platform's page.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Row {
    /// The value in base64; none once it was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    record: Record,
}

/// How the store treats the calls of one machine.
#[derive(Debug, Default)]
struct MachineState {
    is_unanswered: bool,
    /// Number of follow calls on the operators' rows so far.
    operators_calls: u64,
    last_operators_call: Option<Instant>,
}

/// One machine's view of the store.
#[derive(Clone)]
pub struct StoreAccess {
    /// The address for this machine.
    pub addr: SocketAddr,
    name: String,
    state: Arc<Mutex<MachineState>>,
    shared: Arc<Shared>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    /// Creates an empty store.
    pub fn new(record: &Record) -> Self {
        let shared = Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record: record.clone(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Writes a row on behalf of the operator or a worker. When this returns, the store has confirmed it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.shared.rows.lock().expect("no holder panics");
        rows.version += 1;
        let row = Row { value: Some(base64(value.as_bytes())), version: rows.version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.shared.record.line(format!("store: {table}/{key} written and confirmed"));
        self.shared.changed.notify_all();
    }

    /// Opens an address for one machine.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn open(&self, name: &str) -> io::Result<StoreAccess> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let access = StoreAccess {
            addr: listener.local_addr()?,
            name: name.to_owned(),
            state: Arc::default(),
            shared: Arc::clone(&self.shared),
        };
        let accepting = access.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let access = accepting.clone();
                thread::spawn(move || access.serve(stream));
            }
        });
        Ok(access)
    }
}

impl StoreAccess {
    /// Leaves this machine's calls without a response from now on, or answers them again.
    pub fn set_unanswered(&self, is_unanswered: bool) {
        self.state.lock().expect("no holder panics").is_unanswered = is_unanswered;
        let what = if is_unanswered { "gets no response" } else { "is answered again" };
        self.shared.record.line(format!("store: {} {what}", self.name));
    }

    /// Number of follow calls on the operators' rows so far, and when the last one came.
    pub fn operators_calls(&self) -> (u64, Option<Instant>) {
        let state = self.state.lock().expect("no holder panics");
        (state.operators_calls, state.last_operators_call)
    }

    fn is_unanswered(&self) -> bool {
        self.state.lock().expect("no holder panics").is_unanswered
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.read_request() {
            let is_follow = request.path() == "/api/rows-feed" && request.query("table") == "op";
            if is_follow {
                let mut state = self.state.lock().expect("no holder panics");
                state.operators_calls += 1;
                state.last_operators_call = Some(Instant::now());
                drop(state);
                let wait_ms = request.query("wait_ms");
                let line = format!("store: {} follows op, wait_ms={wait_ms}", self.name);
                self.shared.record.line(line);
            }
            let (status, body) = self.shared.answer(&request);
            if self.is_unanswered() {
                let lost = format!("store: an answer to {} is lost: {}", self.name, request.target);
                self.shared.record.line(lost);
                // The connection says nothing more, until the other end closes it.
                while let Ok(Some(_)) = channel.read_request() {}
                return;
            }
            let headers = "Content-Type: application/json\r\n";
            if channel.respond(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}

impl Shared {
    fn answer(&self, request: &Request) -> (&'static str, String) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/rows-get") => ("200 OK", self.read(request)),
            ("GET", "/api/rows-feed") => ("200 OK", self.follow(request)),
            ("POST", "/api/rows-tx") => self.transact(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn read(&self, request: &Request) -> String {
        let rows = self.rows.lock().expect("no holder panics");
        let (table, from) = (request.query("table"), request.query("from"));
        let is_read = |(of, key): &(String, String), row: &Row| {
            of == table && key.as_str() >= from && row.value.is_some()
        };
        let found = rows.rows.iter().filter(|(key, row)| is_read(key, row));
        self.page(&rows, found.map(|((_, key), row)| wire(table, key, row)))
    }

    fn follow(&self, request: &Request) -> String {
        let table = request.query("table");
        let after = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut rows = self.rows.lock().expect("no holder panics");
        loop {
            let is_new = |of: &str, row: &Row| of == table && row.version > after;
            let mut found: Vec<_> =
                rows.rows.iter().filter(|((of, _), row)| is_new(of, row)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.version);
                return self.page(&rows, found.iter().map(|((_, key), row)| wire(table, key, row)));
            }
            rows = self.changed.wait_timeout(rows, left).expect("no holder panics").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut rows = self.rows.lock().expect("no holder panics");
        let key_of =
            |entry: &Json| (entry.text("table").to_owned(), entry.text("private_key").to_owned());
        let holds = |entry: &Json| {
            let known = rows.rows.get(&key_of(entry)).filter(|row| row.value.is_some());
            known.map_or(0, |row| row.version) == entry.number("ver")
        };
        if !call.list("expected_rev").iter().all(holds) {
            return ("412 Precondition Failed", self.page(&rows, std::iter::empty()));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in call.list("put") {
            let value = Some(entry.text("value").to_owned());
            rows.rows.insert(key_of(entry), Row { value, version });
        }
        for entry in call.list("remove") {
            rows.rows.insert(key_of(entry), Row { value: None, version });
        }
        self.changed.notify_all();
        ("200 OK", self.page(&rows, std::iter::empty()))
    }

    fn page(&self, rows: &Rows, found: impl Iterator<Item = String>) -> String {
        let found = found.collect::<Vec<_>>().join(",");
        let now_ms = self.started.elapsed().as_millis();
        let version = rows.version;
        format!(r#"{{"rows":[{found}],"more":false,"ver":{version},"now_ms":{now_ms}}}"#)
    }
}

fn wire(table: &str, key: &str, row: &Row) -> String {
    let head = format!(r#""table":"{table}","part":"","private_key":"{key}""#);
    match &row.value {
        Some(value) => format!(r#"{{{head},"value":"{value}","ver":{}}}"#, row.version),
        None => format!(r#"{{{head},"ver":{},"gone":true}}"#, row.version),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for at in 0..3 {
            number = number << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() { sign.into() } else { '=' });
        }
    }
    text
}
