//! A stand-in for the workers of a service: engines that answer with streams of events, and plain workers.

use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;
use crate::http::Request;
use crate::record::Record;

/// How often a worker looks whether the channel of a run was closed.
const CHANNEL_CHECK: Duration = Duration::from_millis(5);

/// A time in the middle of a run in which it makes no event.
#[derive(Debug, Clone, Copy)]
pub struct Delay {
    /// Number of events that the run makes before.
    pub after_events: u64,
    /// How much longer the next event takes.
    pub time: Duration,
    /// Whether it is in the first run of the request alone; else once in each of its runs.
    pub is_first_run_only: bool,
    /// The only worker at which it is; none if it is at any.
    pub worker: Option<&'static str>,
    /// The reason, for the record.
    pub reason: &'static str,
}

/// How a worker runs requests.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Number of the last event of a stream; the first is 1.
    pub last_event: u64,
    /// Time that the tokens of one event take, from the first token on.
    pub event_time: Duration,
    /// The requests that are delayed, by their ids.
    pub delayed: HashMap<String, Delay>,
    /// The request of whose second run the answer is lost: it runs, and nothing of it arrives.
    pub lost: Option<String>,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The worker.
    pub worker: String,
    /// The request's id.
    pub request: String,
    /// The path of the request.
    pub path: String,
    /// The id of the last event that the caller has.
    pub last_event_id: u64,
    /// When the first token was made.
    pub began: Duration,
    /// When it ended, and whether it came to its own end; none while it goes on.
    pub ended: Option<(Duration, bool)>,
}

/// The runs of all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A worker.
pub struct Worker {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
}

impl Worker {
    /// Starts a worker on a free port.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn start(
        id: &str,
        behaviour: &Behaviour,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let serving = Serving {
            id: id.to_owned(),
            behaviour: behaviour.clone(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let serving = Arc::new(serving);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(Self { id: id.to_owned(), addr })
    }

    /// The row with which it keeps itself in the store.
    pub fn row(&self, service: &str, zone: &str, slots: u32) -> String {
        let addr = self.addr;
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"stage":"both","models":[],"seq":1}}"#
        )
    }
}

struct Serving {
    id: String,
    behaviour: Behaviour,
    runs: Runs,
    record: Record,
}

impl Serving {
    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.read_request() {
            let expected = request.header("expect-instance");
            let result = if !expected.is_empty() && expected != self.id {
                let headers = format!("Instance-Id: {}\r\n", self.id);
                channel.respond("421 Misdirected Request", &headers, b"")
            } else if request.header("model").is_empty() {
                self.answer(&mut channel, &request)
            } else {
                self.stream(&mut channel, &request)
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Runs a request of a plain service.
    fn answer(&self, channel: &mut Channel, request: &Request) -> io::Result<()> {
        let run = self.begin(request);
        let result = channel.respond("200 OK", &self.headers(request), b"done\n");
        self.end(run, result.is_ok());
        result
    }

    /// Runs a generation, event by event, and drops it when its channel closes.
    fn stream(&self, channel: &mut Channel, request: &Request) -> io::Result<()> {
        let run = self.begin(request);
        let result = if self.is_lost(request, run) {
            self.record.line(format!("{}: the answer of this run is lost", self.id));
            let Behaviour { last_event, event_time, .. } = self.behaviour;
            wait_while_open(&channel.stream, event_time * last_event as u32)
        } else {
            self.make_events(channel, request)
        };
        self.end(run, result.is_ok());
        result
    }

    fn make_events(&self, channel: &mut Channel, request: &Request) -> io::Result<()> {
        let Behaviour { last_event, event_time, delayed, .. } = &self.behaviour;
        let headers = self.headers(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        channel.stream.write_all(head.as_bytes())?;
        let id = request.header("request-id");
        let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
        let delay = delayed.get(id).filter(|delay| {
            let is_here = delay.worker.is_none_or(|worker| worker == self.id);
            is_here && (first == 1 || !delay.is_first_run_only)
        });
        for event in first..=*last_event {
            let made = event - first;
            if let Some(delay) = delay.filter(|delay| delay.after_events == made) {
                let reason = delay.reason;
                self.record.line(format!("{}: {id} after {made} events: {reason}", self.id));
                wait_while_open(&channel.stream, delay.time)?;
            }
            // The first event comes with the first token.
            if made > 0 {
                wait_while_open(&channel.stream, *event_time)?;
            }
            let text = format!("id: {event}\ndata: event {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            channel.stream.write_all(chunk.as_bytes())?;
        }
        channel.stream.write_all(b"0\r\n\r\n")
    }

    /// Whether the answer of a run is lost.
    fn is_lost(&self, request: &Request, run: usize) -> bool {
        let id = request.header("request-id");
        let runs = self.runs.lock().expect("no holder panics");
        let earlier = runs[..run].iter().filter(|earlier| earlier.request == id).count();
        self.behaviour.lost.as_deref() == Some(id) && earlier == 1
    }

    fn headers(&self, request: &Request) -> String {
        let id = request.header("request-id");
        format!("Request-Id: {id}\r\nResponse-Seal: 3e1b.{}\r\n", self.id)
    }

    fn begin(&self, request: &Request) -> usize {
        let run = Run {
            worker: self.id.clone(),
            request: request.header("request-id").to_owned(),
            path: request.path().to_owned(),
            last_event_id: request.header("last-event-id").parse().unwrap_or(0),
            began: self.record.elapsed(),
            ended: None,
        };
        self.record.line(format!(
            "{}: {} {} begins to run, last event of the caller {}, tenant {}",
            self.id,
            run.request,
            run.path,
            run.last_event_id,
            request.header("tenant"),
        ));
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, run: usize, is_whole: bool) {
        let mut runs = self.runs.lock().expect("no holder panics");
        let run = &mut runs[run];
        let how = if is_whole { "is done" } else { "is dropped: its channel was closed" };
        let at = self.record.line(format!("{}: {} {how}", self.id, run.request));
        run.ended = Some((at, is_whole));
    }
}

/// Waits, and fails as soon as the other end has closed the channel.
fn wait_while_open(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    stream.set_read_timeout(Some(CHANNEL_CHECK))?;
    let result = loop {
        if Instant::now() >= until {
            break Ok(());
        }
        match stream.peek(&mut [0]) {
            Ok(0) => break Err(ErrorKind::ConnectionReset.into()),
            Ok(_) => thread::sleep(CHANNEL_CHECK),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => break Err(error),
        }
    };
    stream.set_read_timeout(None)?;
    result
}
