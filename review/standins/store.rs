//! The platform's store: rows in tables, their feed, and transactions under conditions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::base64;
use crate::json::quoted;

/// How long a call takes, as on the sheet of the deployment.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// In base64; none once the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Key, Row>,
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>, ver: u64) {
        self.rows.insert(key, Row { value, ver });
    }
}

/// The platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self { shared: Arc::default(), started: Instant::now() };
        let serving = store.clone();
        let addr = http::serve(move |request, stream| serving.handle(request, stream))?;
        Ok((store, addr))
    }

    /// A write of an operator or a worker. The row is in force with this call's return.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.set(key_of(table, "", key), Some(base64(value.as_bytes())), ver);
        changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        thread::sleep(ANSWER_TIME);
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("GET", "/api/rows-get") => self.get(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            ("POST", "/api/rows-tx") => self.transact(request),
            _ => (404, "{}".to_owned()),
        };
        http::answer(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").and_then(|n| n.parse().ok()).unwrap_or(500_usize);
        let rows = self.shared.0.lock().unwrap();
        let fits = |(key, row): &(&Key, &Row)| {
            key.0 == table && key.1 == part && key.2 >= from && row.value.is_some()
        };
        let found: Vec<_> = rows.rows.iter().filter(fits).collect();
        let more = found.len() > limit;
        (200, self.body(rows.ver, found.into_iter().take(limit), Some(more)))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let after = request.query("after").and_then(|n| n.parse().ok()).unwrap_or(0_u64);
        let wait_ms = request.query("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0_u64);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        loop {
            let fits = |(key, row): &(&Key, &Row)| key.0 == table && row.ver > after;
            let mut found: Vec<_> = rows.rows.iter().filter(fits).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.ver);
                return (200, self.body(rows.ver, found.into_iter(), None));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| {
            let text = |name| entry.field(name).text().to_owned();
            (text("table"), text("part"), text("private_key"))
        };
        let writes = body.field("put").list().iter().chain(body.field("remove").list());
        if writes.map(key).any(|(table, ..)| table == "servers") {
            return (403, "{}".to_owned());
        }
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        for expected in body.field("expected_rev").list() {
            let known = rows.rows.get(&key(expected)).filter(|row| row.value.is_some());
            if known.map_or(0, |row| row.ver) != expected.field("ver").number() {
                return (412, self.body(rows.ver, std::iter::empty(), None));
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in body.field("put").list() {
            rows.set(key(put), Some(put.field("value").text().to_owned()), ver);
        }
        for removed in body.field("remove").list() {
            rows.set(key(removed), None, ver);
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()))
    }

    fn body<'a>(
        &self,
        ver: u64,
        rows: impl Iterator<Item = (&'a Key, &'a Row)>,
        more: Option<bool>,
    ) -> String {
        let rows: Vec<_> = rows.map(|(key, row)| row_json(key, row)).collect();
        let more = more.map_or(String::new(), |more| format!("\"more\":{more},"));
        let now_ms = self.now_ms();
        format!("{{\"rows\":[{}],{more}\"ver\":{ver},\"now_ms\":{now_ms}}}", rows.join(","))
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn key_of(table: &str, part: &str, key: &str) -> Key {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

fn row_json((table, part, key): &Key, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"gone\":true".to_owned(),
    };
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    let ver = row.ver;
    format!("{{\"table\":{table},\"part\":{part},\"private_key\":{key},{value},\"ver\":{ver}}}")
}
