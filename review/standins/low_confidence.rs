//! Callers of a route whose streams may not be resumed, and small models with little confidence in some answers.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::World;
use crate::gateway::Place;
use crate::http;
use crate::http::Request;
use crate::worker;
use crate::worker::Plan;
use crate::worker::Spec;
use crate::worker::Step;
use crate::worker::Stream;

const MODELS: &[&str] = &["m0", "m1", "m2"];
const ZONES: [&str; 3] = ["glk-a", "glk-b", "glk-c"];
const REQUESTS: u32 = 24;

/// One request in so many is hard for the smallest model.
const HARD_EVERY: u32 = 4;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"brief","host":"desk.example","path_prefix":"/brief/","kind":"streaming","timeout_ms":20000,
"target_latency_ms":1500,"priority":0,"sizes":["m0","m1","m2"],"service":"underwrite-lm","max_attempts":3,
"auth_exempt":false,"sticky":true,"resumable":false,"gap_aim_ms":1200}],
"services":[{"name":"underwrite-lm","health_path":"/health","max_conns":230,"engine":{"slots":32,
"kv_capacity_tokens":761808,"models":[{"name":"m0","cost":0.015},{"name":"m1","cost":0.11},{"name":"m2","cost":0.22}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

pub fn play(world: &World) -> io::Result<bool> {
    let has_trouble = world.has_trouble;
    for (n, zone) in ZONES.into_iter().enumerate() {
        let spec = Spec {
            id: format!("i-{n}"),
            service: "underwrite-lm",
            zone,
            slots: 32,
            queue: 96,
            models: MODELS,
            plan: Arc::new(move |request| Plan::Stream(stream_of(request, has_trouble))),
        };
        worker::start(spec, &world.store, &world.events, &world.record)?;
    }
    world.store.put("op", "config", CONFIG);
    let gateways = world.start_gateways(&[Place::choose("front-glk-a-1", "glk-a")?])?;
    thread::sleep(Duration::from_secs(4));
    let mut holds = true;
    for n in 0..REQUESTS {
        let id = format!("req-{n}");
        let hardness = if n % HARD_EVERY == 0 { "hard" } else { "easy" };
        let request = format!(
            "POST /brief/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: *\r\n\
             Token-Usage: 628,200\r\nPrompt-Prefix: a1:198,{n:x}f:430\r\nDeadline-Ms: 20000\r\n\
             Authorization: Bearer key-1\r\nContent-Length: 4\r\nConnection: close\r\n\r\n{hardness}"
        );
        world.record.note(&format!("request {id} ({hardness}) is sent"));
        let answer = http::call(gateways[0].place.front, &request, Duration::from_secs(10));
        let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
        world.record.note(&format!(
            "request {id} gets {:?}, confidence {}, {events} events, whole: {}",
            answer.status,
            answer.header("confidence"),
            answer.is_whole
        ));
        let runs = world.events.of(&id).iter().filter(|event| event.step == Step::Runs).count();
        if runs > 1 {
            world.record.note(&format!("TWICE: request {id} was run {runs} times"));
            holds = false;
        }
    }
    Ok(holds)
}

/// The answer to a hard request has little confidence if a small model makes it.
fn stream_of(request: &Request, has_trouble: bool) -> Stream {
    let is_hard = request.body == b"hard" && request.header("model") == MODELS[0];
    let confidence = if is_hard && has_trouble { 20 } else { 90 };
    Stream {
        confidence,
        to_first: Duration::from_millis(60),
        events: 12,
        gap: Duration::from_millis(25),
    }
}
