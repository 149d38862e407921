//! Upstreams that some requests crash, and callers that send such requests repeatedly.

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
use super::caller::RequestKind;
use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::gateway_status::GatewayStatus;
use super::violations::Violations;
use crate::gateway::world::KEY;

/// The service of these upstreams, and the route to it.
pub(super) const SERVICE: &str = "fragile";
const UPSTREAMS: usize = 6;

/// The prefix of a request body that crashes the upstream which runs it.
const FATAL: &str = "fatal";

/// Requests of a series, and the interval between two.
const REQUESTS: usize = 14;
const REQUEST_EVERY: Duration = Duration::from_millis(150);

/// This many crashes identify a fatal request. From `PROPAGATION_TIME` after the last of them, the
/// healthy gateways together send it at most `MAX_SENDS_AFTER` times more.
const CRASHES_UNTIL_KNOWN: usize = 3;
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const MAX_SENDS_AFTER: usize = 3;

/// Starts the upstreams that can crash and lists them in the store.
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

/// Sends the same fatal request repeatedly, each time to the next gateway. Returns the records.
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
        records
            .push(caller::send_with_body(&http, gateway, RequestKind::Fatal, KEY, id, body).await);
    }
    records
}

/// The time of a series, until the streams that it broke have resumed.
pub(super) fn series_duration() -> Duration {
    REQUEST_EVERY * REQUESTS as u32 + PROPAGATION_TIME
}

/// Checks that gateways stop sending a request once it is known to be fatal.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    for number in 0..fleet.series {
        let body = format!("{FATAL} {number}");
        let mut ends: Vec<_> = fleet.fragile.iter().flat_map(UpstreamStandin::ends).collect();
        ends.retain(|end| end.arrival.body == body);
        ends.sort_by_key(|end| end.at);
        let Some(known) = ends.get(CRASHES_UNTIL_KNOWN - 1).map(|end| end.at) else {
            continue;
        };
        let sends = sends_after(fleet, requests, &body, known);
        if sends > MAX_SENDS_AFTER {
            let ends = ends.len();
            violations.add(format!(
                "{body}: sent {sends} times after it was known to be fatal, {ends} crashes"
            ));
        }
    }
}

/// How often healthy gateways sent a request after it was known to be fatal.
fn sends_after(fleet: &Fleet, requests: &[RequestRecord], body: &str, known: Instant) -> usize {
    let arrivals = fleet.fragile.iter().flat_map(UpstreamStandin::arrivals);
    let late =
        arrivals.filter(|arrival| arrival.body == body && arrival.at > known + PROPAGATION_TIME);
    let is_from_healthy_gateway = |id: &str, at: Instant| {
        let request = requests.iter().find(|request| request.id == id);
        let gateway = request.map(|request| &fleet.gateways[request.gateway]);
        gateway.is_none_or(|gateway| !gateway.was_faulty(at - PROPAGATION_TIME, at))
    };
    late.filter(|arrival| is_from_healthy_gateway(arrival.header("request-id"), arrival.at)).count()
}
