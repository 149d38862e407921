//! Two of a zone's three gateways are stopped while callers send requests that may not be repeated, to workers that take
//! almost the whole timeout of the route.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::World;
use crate::gateway::Place;
use crate::http;
use crate::worker;
use crate::worker::Plan;
use crate::worker::Spec;
use crate::worker::Step;

const ZONE: &str = "glk-a";
const WORKERS: usize = 10;

/// Time of work of each request: within the route's timeout of 2 s, and well within the caller's limit.
const WORK: Duration = Duration::from_millis(1_900);
const TIMEOUT_MS: u64 = 2_000;
const LIMIT_MS: u64 = 4_000;

const GRACE_MS: u64 = 8_000;

/// Requests that were sent no later than this after the signal are excused if their worker still worked on them in the
/// last sixth of the grace.
const EXCUSED_MS: u64 = 3_000;

/// A closed channel counts up to this time after the grace.
const AFTER_GRACE_MS: u64 = 1_000;

/// Requests are sent this often, each on a new channel, to the three gateways in turn: the sheet of the deployment has 26
/// of this kind a second.
const SENT_EVERY: Duration = Duration::from_millis(40);
const REQUESTS: usize = 190;

/// The signal comes after so many requests.
const STOPPED_AFTER: usize = 20;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"remit-note","host":"desk.example","path_prefix":"/remit/","kind":"unsafe","timeout_ms":2000,
"target_latency_ms":300,"priority":2,"service":"ledger-app","max_attempts":1,"auth_exempt":false}],
"services":[{"name":"ledger-app","health_path":"/health","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

/// A request as its caller saw it.
struct Sent {
    id: String,
    gateway: usize,
    sent_ms: u64,
    ended_ms: u64,
    is_whole: bool,
    is_closed: bool,
}

pub fn play(world: &World) -> io::Result<bool> {
    for n in 0..WORKERS {
        let spec = Spec {
            id: format!("i-{n}"),
            service: "ledger-app",
            zone: ZONE,
            slots: 6,
            queue: 24,
            models: &[],
            plan: Arc::new(|_| Plan::Whole { work: WORK }),
        };
        worker::start(spec, &world.store, &world.events, &world.record)?;
    }
    world.store.put("op", "config", CONFIG);
    let places = [
        Place::choose("front-glk-a-1", ZONE)?,
        Place::choose("front-glk-a-2", ZONE)?,
        Place::choose("front-glk-a-3", ZONE)?,
    ];
    let mut gateways = world.start_gateways(&places)?;
    thread::sleep(Duration::from_secs(4));
    let mut callers = Vec::new();
    let mut stopped_ms = None;
    for n in 0..REQUESTS {
        if n == STOPPED_AFTER && world.has_trouble {
            stopped_ms = Some(gateways[0].signal("TERM")?);
            gateways[1].signal("TERM")?;
        }
        callers.push(send(world, &places, n));
    }
    if stopped_ms.is_some() {
        for gateway in &mut gateways[..2] {
            gateway.wait_for_end(Duration::from_millis(GRACE_MS))?;
        }
    }
    let sent: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    Ok(judge(world, &sent, stopped_ms))
}

/// Sends the next request, after the usual pause. With two of three nodes out, under half of the zone's nodes are in, so
/// the platform uses all of them.
fn send(world: &World, places: &[Place], n: usize) -> thread::JoinHandle<Sent> {
    thread::sleep(SENT_EVERY);
    let (record, place) = (world.record.clone(), places[n % places.len()].clone());
    thread::spawn(move || {
        let id = format!("req-{n}");
        let request = format!(
            "POST /remit/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {LIMIT_MS}\r\nAuthorization: Bearer key-1\r\nContent-Length: 5\r\n\
             Connection: close\r\n\r\nremit"
        );
        let sent_ms = record.note(&format!("request {id} is sent to {}", place.name));
        let answer = http::call(place.front, &request, Duration::from_millis(LIMIT_MS));
        let end = match (answer.status, answer.is_closed) {
            (Some(status), false) => format!("gets {status}, whole: {}", answer.is_whole),
            (Some(status), true) => {
                format!("gets {status}, and its channel is closed before the end")
            }
            (None, true) => "has its channel closed without an answer".to_owned(),
            (None, false) => "is given up by its caller".to_owned(),
        };
        let ended_ms = record.note(&format!("request {id} {end}"));
        let (is_whole, is_closed) = (answer.is_whole, answer.is_closed);
        Sent { id, gateway: n % 3, sent_ms, ended_ms, is_whole, is_closed }
    })
}

fn judge(world: &World, sent: &[Sent], stopped_ms: Option<u64>) -> bool {
    let mut holds = true;
    for request in sent {
        let events = world.events.of(&request.id);
        let was_run = events.iter().any(|event| event.step == Step::Runs);
        let had_time = request.ended_ms < request.sent_ms + TIMEOUT_MS;
        if request.is_whole || !request.is_closed || !was_run || !had_time {
            continue;
        }
        let taken_ms = request.ended_ms - request.sent_ms;
        let Some(stopped_ms) = stopped_ms.filter(|_| request.gateway < 2) else {
            world.record.note(&format!("LOST: request {} was cut without a stop", request.id));
            holds = false;
            continue;
        };
        let after_ms = request.sent_ms.saturating_sub(stopped_ms);
        let is_counted = request.ended_ms <= stopped_ms + GRACE_MS + AFTER_GRACE_MS;
        if after_ms > EXCUSED_MS && is_counted {
            world.record.note(&format!(
                "LOST: request {} was sent {after_ms} ms after SIGTERM and run, and its channel was closed {taken_ms} ms \
                 later, of {TIMEOUT_MS}",
                request.id
            ));
            holds = false;
        }
    }
    holds
}
