//! Model workers that preempt streams for some seconds, around a change of a gateway's settings.

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
use crate::worker::Stream;

const ZONES: [&str; 3] = ["glk-a", "glk-b", "glk-c"];
const REQUESTS: u32 = 4;
const EVENTS: u64 = 42;

/// A run is preempted after so many events, for this time. Callers wait for eight of the route's pauses, 9.6 s.
const PREEMPTED: (u64, Duration) = (4, Duration::from_millis(3_200));
const PATIENCE: Duration = Duration::from_millis(9_600);

/// Requests that are sent so long after SIGHUP count.
const CONFIG_APPLY_MS: u64 = 2_000;
const LIMIT_MS: u64 = 20_000;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"brief","host":"desk.example","path_prefix":"/brief/","kind":"streaming","timeout_ms":20000,
"target_latency_ms":1500,"priority":0,"sizes":["m0"],"service":"underwrite-lm","max_attempts":3,
"auth_exempt":false,"sticky":true,"resumable":true,"gap_aim_ms":1200}],
"services":[{"name":"underwrite-lm","health_path":"/health","max_conns":230,"engine":{"slots":32,
"kv_capacity_tokens":761808,"models":[{"name":"m0","cost":0.015}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

/// A stream as its caller saw it.
struct Sent {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    is_whole: bool,
    is_closed: bool,
}

pub fn play(world: &World) -> io::Result<bool> {
    let preempted = world.has_trouble.then_some(PREEMPTED);
    let stream = Stream {
        confidence: 90,
        to_first: Duration::from_millis(60),
        events: EVENTS,
        gap: Duration::from_millis(40),
        preempted,
    };
    for (n, zone) in ZONES.into_iter().enumerate() {
        let stream = stream.clone();
        let spec = Spec {
            id: format!("i-{n}"),
            service: "underwrite-lm",
            zone,
            slots: 32,
            queue: 96,
            models: &["m0"],
            plan: Arc::new(move |_| Plan::Stream(stream.clone())),
        };
        worker::start(spec, &world.store, &world.events, &world.record)?;
    }
    world.store.put("op", "config", CONFIG);
    let gateways = world.start_gateways(&[Place::choose("front-glk-a-1", "glk-a")?])?;
    thread::sleep(Duration::from_secs(7));
    let changed_ms = gateways[0].signal("HUP")?;
    let callers: Vec<_> = (0..REQUESTS).map(|n| send(world, &gateways[0].place, n)).collect();
    let sent: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    Ok(judge(world, &sent, changed_ms))
}

fn send(world: &World, place: &Place, n: u32) -> thread::JoinHandle<Sent> {
    thread::sleep(Duration::from_millis(200));
    let (record, addr) = (world.record.clone(), place.front);
    thread::spawn(move || {
        let id = format!("req-{n}");
        let request = format!(
            "POST /brief/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: *\r\n\
             Token-Usage: 628,300\r\nPrompt-Prefix: a1:198,{n:x}f:430\r\nDeadline-Ms: {LIMIT_MS}\r\n\
             Authorization: Bearer key-1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nbrief"
        );
        let sent_ms = record.note(&format!("request {id} is sent"));
        let answer = http::call(addr, &request, PATIENCE);
        let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
        let ended_ms = record.note(&format!(
            "request {id} gets {:?}, {events} of {EVENTS} events, whole: {}, channel closed early: {}",
            answer.status, answer.is_whole, answer.is_closed
        ));
        let (is_whole, is_closed) = (answer.is_whole, answer.is_closed);
        Sent { id, sent_ms, ended_ms, is_whole, is_closed }
    })
}

fn judge(world: &World, sent: &[Sent], changed_ms: u64) -> bool {
    let mut holds = true;
    for request in sent {
        let events = world.events.of(&request.id);
        let was_run = events.iter().any(|event| event.step == Step::Runs);
        let is_around_change = request.sent_ms <= changed_ms + CONFIG_APPLY_MS;
        let is_in_time = request.ended_ms < request.sent_ms + LIMIT_MS;
        if !request.is_whole && request.is_closed && was_run && is_around_change && is_in_time {
            world.record.note(&format!(
                "LOST: the channel of request {} was closed {} ms after it was sent, with the answer not whole",
                request.id,
                request.ended_ms - request.sent_ms
            ));
            holds = false;
        }
    }
    holds
}
