//! Upstreams that some requests end, and callers that send such requests again and again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::CrashRule;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::caller;
use super::caller::Kind;
use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::gateway_status::GatewayStatus;
use super::violations::Violations;
use crate::gateway::world::KEY;

/// The service of these upstreams, and the route to it.
const SERVICE: &str = "fragile";
const UPSTREAMS: usize = 6;

/// What begins so ends the upstream that runs it.
const FATAL: &str = "fatal";

/// Requests of a series, and the time between two.
const REQUESTS: usize = 14;
const REQUEST_EVERY: Duration = Duration::from_millis(150);

/// So many ends tell what a request does; from this time after the last of them on, gateways that are
/// well have heard of it and send it at most so many times more, all together.
const ENDS_UNTIL_KNOWN: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
const SENDS_AFTER: usize = 3;

/// The upstreams that can end, listed in the store.
pub(super) async fn start_all(store: &StoreStandin) -> Vec<UpstreamStandin> {
    let usual = Behaviour::Stream {
        events: super::upstream::EVENTS,
        pause: Duration::from_millis(20),
        confidence: None,
        truncate_after: None,
    };
    let rule = CrashRule { after: Duration::from_millis(30), ..CrashRule::of(FATAL) };
    let mut upstreams = Vec::new();
    for n in 0..UPSTREAMS {
        let upstream = UpstreamStandin::start(&format!("i-fragile-{n}"), usual.clone()).await;
        let upstream = upstream.expect("an upstream starts");
        upstream.crash_on(rule.clone(), store.writer(), SERVICE);
        upstreams.push(upstream);
    }
    upstreams
}

/// Adds the service and its route to a configuration.
pub(super) fn add_to(config: &mut Value) {
    let route = json!({
        "name": SERVICE, "host": "test.example", "path_prefix": format!("/{SERVICE}/"),
        "kind": "streaming", "timeout_ms": 4_000, "target_latency_ms": 300, "priority": 1,
        "service": SERVICE, "max_attempts": 3, "auth_exempt": false, "resumable": true,
        "gap_aim_ms": 1_000,
    });
    let service = json!({ "name": SERVICE, "health_path": "/health", "max_conns": 100 });
    config["routes"].as_array_mut().expect("a list of routes").push(route);
    config["services"].as_array_mut().expect("a list of services").push(service);
}

/// A caller sends the same request again and again, each time to the next gateway.
pub(super) async fn send_series(
    gateways: Vec<Arc<GatewayStatus>>,
    number: usize,
) -> Vec<RequestRecord> {
    let http = caller::client();
    let mut ticks = tokio::time::interval(REQUEST_EVERY);
    let mut records = Vec::new();
    for n in 0..REQUESTS {
        ticks.tick().await;
        let gateway = &gateways[(number + n) % gateways.len()];
        let body = format!("{FATAL} {number}");
        let id = format!("fatal-{number}-{n}");
        records.push(caller::ask_with(&http, gateway, Kind::Fatal, KEY, id, body).await);
    }
    records
}

/// How long a series lasts, and what it broke off is under way again.
pub(super) fn series_lasts() -> Duration {
    REQUEST_EVERY * REQUESTS as u32 + CONTACT
}

/// Once it is known what a request does, it is sent no more.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    for number in 0..fleet.series {
        let body = format!("{FATAL} {number}");
        let mut ends: Vec<_> = fleet.fragile.iter().flat_map(UpstreamStandin::ends).collect();
        ends.retain(|end| end.body == body);
        ends.sort_by_key(|end| end.at);
        let Some(known) = ends.get(ENDS_UNTIL_KNOWN - 1).map(|end| end.at) else {
            continue;
        };
        let sends = sends_after(fleet, requests, &body, known);
        if sends > SENDS_AFTER {
            let ends = ends.len();
            violations.add(format!("{body}: sent {sends} times after it was known, {ends} ends"));
        }
    }
}

/// How often gateways that were well sent a request after it was known what it does.
fn sends_after(fleet: &Fleet, requests: &[RequestRecord], body: &str, known: Instant) -> usize {
    let arrivals = fleet.fragile.iter().flat_map(UpstreamStandin::arrivals);
    let late = arrivals.filter(|arrival| arrival.body == body && arrival.at > known + CONTACT);
    let is_of_well = |id: &str, at: Instant| {
        let request = requests.iter().find(|request| request.id == id);
        let gateway = request.map(|request| &fleet.gateways[request.gateway]);
        gateway.is_none_or(|gateway| !gateway.was_faulty(at - CONTACT, at))
    };
    late.filter(|arrival| is_of_well(arrival.header("request-id"), arrival.at)).count()
}
