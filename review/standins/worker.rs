//! Workers of a service: each runs requests in slots, queues a few beyond that, and notes what it ran.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::quoted;
use crate::record::Record;
use crate::store::Store;

/// What happens to a request at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Arrives,
    Runs,
    /// Its run ends with the whole answer written.
    Ends,
    /// Its run ends as the other end has closed the channel.
    Cut,
    NotExecuted,
}

/// A step of a request at a worker.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub id: String,
    pub step: Step,
}

/// The steps at all workers.
#[derive(Debug, Clone, Default)]
pub struct Events(Arc<Mutex<Vec<Event>>>);

impl Events {
    pub fn all(&self) -> Vec<Event> {
        self.0.lock().unwrap().clone()
    }

    /// The steps of one request, in order.
    pub fn of(&self, id: &str) -> Vec<Event> {
        self.all().into_iter().filter(|event| event.id == id).collect()
    }
}

/// How a worker answers a request that it runs.
#[derive(Debug, Clone)]
pub enum Plan {
    /// A whole answer, after this time.
    Whole { work: Duration },
    /// A stream of events.
    Stream(Stream),
}

/// A stream of events, numbered from 1; one that is taken up continues after `Last-Event-Id`.
#[derive(Debug, Clone)]
pub struct Stream {
    pub confidence: u8,
    pub to_first: Duration,
    pub events: u64,
    pub gap: Duration,
}

/// What a worker is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    /// The models that it has; none if it is not a model worker.
    pub models: &'static [&'static str],
    pub plan: Arc<dyn Fn(&Request) -> Plan + Send + Sync>,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

struct Worker {
    spec: Spec,
    places: Mutex<Places>,
    freed: Condvar,
    events: Events,
    record: Record,
}

/// Starts a worker, which keeps itself in the store.
pub fn start(
    spec: Spec,
    store: &Store,
    events: &Events,
    record: &Record,
) -> io::Result<SocketAddr> {
    let worker = Worker {
        spec: spec.clone(),
        places: Mutex::default(),
        freed: Condvar::new(),
        events: events.clone(),
        record: record.clone(),
    };
    let addr = http::serve(move |request, stream| worker.handle(request, stream))?;
    let row = format!(
        "{{\"service\":{},\"address\":\"{addr}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}}",
        quoted(spec.service),
        quoted(spec.zone),
        spec.slots,
    );
    store.put("servers", &spec.id, &row);
    record.note(&format!("worker {} ({}) listens on {addr}", spec.id, spec.service));
    Ok(addr)
}

impl Worker {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if request.method == "GET" && request.path() == "/health" {
            return http::answer(stream, 200, &[("Instance-Id", &self.spec.id)], b"");
        }
        let id = request.header("request-id");
        self.note(id, Step::Arrives, "");
        let expected = request.header("expect-instance");
        let model = request.header("model");
        let is_other = !expected.is_empty() && expected != self.spec.id;
        let lacks_model = !model.is_empty() && !self.spec.models.contains(&model);
        if id.is_empty() || is_other || lacks_model {
            let status = if id.is_empty() { 400 } else { 421 };
            return self.not_executed(id, status, stream);
        }
        let limit_ms = request.header("deadline-ms").parse().unwrap_or(60_000);
        let until = Instant::now() + Duration::from_millis(limit_ms);
        if !self.take_place(until) {
            return self.not_executed(id, 503, stream);
        }
        let result = self.run(request, id, until, stream);
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_all();
        let step = if result.is_ok() { Step::Ends } else { Step::Cut };
        self.note(id, step, "");
        result
    }

    /// Waits for a slot. False if the queue is full, or the time limit passes in it.
    fn take_place(&self, until: Instant) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.running >= self.spec.slots && places.waiting >= self.spec.queue {
            return false;
        }
        places.waiting += 1;
        while places.running >= self.spec.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                places.waiting -= 1;
                return false;
            }
            places = self.freed.wait_timeout(places, left).unwrap().0;
        }
        places.waiting -= 1;
        places.running += 1;
        true
    }

    fn not_executed(&self, id: &str, status: u16, stream: &mut TcpStream) -> io::Result<()> {
        self.note(id, Step::NotExecuted, &format!(", {status}"));
        let headers = [("Request-Id", id), ("Not-Executed", "1")];
        http::answer(stream, status, &headers, b"")
    }

    fn run(
        &self,
        request: &Request,
        id: &str,
        until: Instant,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let (model, after) = (request.header("model"), request.header("last-event-id"));
        let model = if model.is_empty() { String::new() } else { format!(", model {model}") };
        let after = if after.is_empty() { String::new() } else { format!(", after event {after}") };
        self.note(id, Step::Runs, &format!("{model}{after}"));
        let seal = format!("{}.{id}", self.spec.id);
        match (self.spec.plan)(request) {
            Plan::Whole { work } => {
                wait(stream, work, until)?;
                let body = format!("answer to {id}");
                let headers = [("Request-Id", id), ("Response-Seal", seal.as_str())];
                http::answer(stream, 200, &headers, body.as_bytes())
            }
            Plan::Stream(events) => stream_events(request, id, &seal, &events, until, stream),
        }
    }

    fn note(&self, id: &str, step: Step, more: &str) {
        let worker = &self.spec.id;
        let text = match step {
            Step::Arrives => "reaches",
            Step::Runs => "is run by",
            Step::Ends => "is answered by",
            Step::Cut => "is no longer awaited at",
            Step::NotExecuted => "is not executed by",
        };
        let at_ms = self.record.note(&format!("request {id} {text} worker {worker}{more}"));
        let event = Event { at_ms, worker: worker.clone(), id: id.to_owned(), step };
        self.events.0.lock().unwrap().push(event);
    }
}

/// Works for a time.
///
/// # Errors
/// Fails when the other end closes the channel, or the time limit passes.
fn wait(stream: &TcpStream, time: Duration, until: Instant) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    if http::closed_within(stream, time.min(left)) {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    if time > left { Err(io::ErrorKind::TimedOut.into()) } else { Ok(()) }
}

fn stream_events(
    request: &Request,
    id: &str,
    seal: &str,
    plan: &Stream,
    until: Instant,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    wait(stream, plan.to_first, until)?;
    let confidence = plan.confidence.to_string();
    let headers = [
        ("Request-Id", id),
        ("Response-Seal", seal),
        ("Content-Type", "text/event-stream"),
        ("Confidence", confidence.as_str()),
    ];
    http::chunked_head(stream, &headers)?;
    for event in after + 1..=plan.events {
        wait(stream, plan.gap, until)?;
        http::chunk(stream, format!("id: {event}\ndata: event {event} of {id}\n\n").as_bytes())?;
    }
    http::chunk(stream, b"")
}
