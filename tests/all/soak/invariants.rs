//! Invariants that hold under all faults, checked against the requests that callers sent and those
//! that upstreams received.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::caller::DEADLINE;
use super::caller::RequestKind;
use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::upstream::EVENTS;
use super::violations::Violations;
use crate::gateway::world::Answer;
use crate::gateway::world::events;

/// After this time an upstream that leaves receives no new requests. The platform allows 2 s; the
/// rest is tolerance for a machine that is busy with the run itself.
const LEAVING_GRACE: Duration = Duration::from_secs(4);

/// The time within which a healthy gateway gives its final response: the caller's deadline, with
/// tolerance for a busy machine.
const RESPONSE_TIME_LIMIT: Duration = DEADLINE.saturating_add(Duration::from_secs(3));

/// The text by which the response to a quarantined request is recognized.
const HELD_BACK: &str = "upstreams have ended while they ran this request";

/// Of the requests that crash no upstream, fewer than one in this number may be quarantined.
const OTHERS_FOR_ONE_HELD_BACK: usize = 1_000;

/// Statuses which guarantee that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The arrivals and executions of one request, over all upstreams.
#[derive(Debug, Default)]
struct Observations {
    arrivals: usize,
    runs: usize,
}

/// Checks all requests of a run.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    let seen = seen(fleet);
    for request in requests {
        let nothing = Observations::default();
        let seen = seen.get(&request.id).unwrap_or(&nothing);
        let mut violated = Vec::new();
        check_runs(request, seen, &mut violated);
        match &request.answer {
            Some(answer) => {
                check_answer(request, answer, &mut violated);
                check_complete(fleet, request, answer, &mut violated);
            }
            None => check_response_exists(fleet, request, seen, &mut violated),
        }
        check_time(fleet, request, &mut violated);
        for what in violated {
            violations.add(format!("{what}: {request:?} {seen:?}"));
        }
    }
    let others = held_back(requests).count();
    if others > 1 + requests.len() / OTHERS_FOR_ONE_HELD_BACK {
        violations.add(format!("{others} requests were quarantined that crash no upstream"));
    }
    check_unsolicited(&seen, requests, violations);
    check_leaving(fleet, violations);
}

fn seen(fleet: &Fleet) -> HashMap<String, Observations> {
    let mut seen: HashMap<String, Observations> = HashMap::new();
    fleet.visit_arrivals(|id, arrival| {
        let of_request = seen.entry(id.to_owned()).or_default();
        of_request.arrivals += 1;
        of_request.runs += usize::from(arrival.is_run);
    });
    seen
}

/// The requests that crash no upstream but were rejected as quarantined.
pub(super) fn held_back(requests: &[RequestRecord]) -> impl Iterator<Item = &RequestRecord> {
    let is_held_back = |answer: &Answer| answer.status == 503 && answer.body.contains(HELD_BACK);
    let others = requests.iter().filter(|request| request.kind != RequestKind::Fatal);
    others.filter(move |request| request.answer.as_ref().is_some_and(is_held_back))
}

/// A request that may run once ran at most once, and not at all if it was rejected.
fn check_runs(request: &RequestRecord, seen: &Observations, violated: &mut Vec<&str>) {
    if request.kind.is_repeatable() {
        return;
    }
    if seen.runs > 1 {
        violated.push("ran twice");
    }
    let status = request.answer.as_ref().map_or(0, |answer| answer.status);
    if NOT_RUN.contains(&status) && seen.runs > 0 {
        violated.push("ran although it was rejected");
    }
}

/// A success is the response to this request; a failure has a status that the faults can cause.
fn check_answer(request: &RequestRecord, answer: &Answer, violated: &mut Vec<&str>) {
    let header = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
    match answer.status {
        200 => {
            if header("request-id") != Some(&request.id) {
                violated.push("the response to another request");
            }
            if header("response-seal").is_none() {
                violated.push("a success without a response seal");
            }
            check_body(request, answer, violated);
        }
        503 if header("retry-after").is_none() => {
            violated.push("a 503 response without Retry-After")
        }
        500 | 502..=504 => {}
        _ => violated.push("a status that no fault can cause"),
    }
}

fn check_body(request: &RequestRecord, answer: &Answer, violated: &mut Vec<&str>) {
    if request.kind.is_stream() {
        let whole = events(1, EVENTS);
        if answer.is_whole && answer.body != whole {
            violated.push("a stream that ended normally but is incomplete");
        }
        if !answer.is_whole && !whole.starts_with(&answer.body) {
            violated.push("a stream with missing, duplicated or reordered events");
        }
    } else if answer.is_whole && answer.body != format!("answer to {}", request.id) {
        violated.push("the body of another response");
    }
}

/// A call that a gateway forwarded gets a response, unless the gateway was faulty.
fn check_response_exists(
    fleet: &Fleet,
    request: &RequestRecord,
    seen: &Observations,
    violated: &mut Vec<&str>,
) {
    let is_call = matches!(request.kind, RequestKind::Safe | RequestKind::Once);
    if is_call && seen.arrivals > 0 && !was_gateway_faulty(fleet, request) {
        violated.push("forwarded to an upstream, but the connection was closed without a response");
    }
}

/// A response that has begun is not cut while its gateway and all upstreams are healthy, whatever
/// other faults or planned stops occur.
fn check_complete(
    fleet: &Fleet,
    request: &RequestRecord,
    answer: &Answer,
    violated: &mut Vec<&str>,
) {
    let mut faults = fleet.upstream_faults.iter();
    let is_fault_free = !faults.any(|fault| fault.overlaps(request.sent, request.ended));
    if !answer.is_whole && is_fault_free && !was_gateway_faulty(fleet, request) {
        violated.push("the response was cut");
    }
}

fn check_time(fleet: &Fleet, request: &RequestRecord, violated: &mut Vec<&str>) {
    let took = request.ended.duration_since(request.sent);
    if took > RESPONSE_TIME_LIMIT && !was_gateway_faulty(fleet, request) {
        violated.push("no final response in time");
    }
}

fn was_gateway_faulty(fleet: &Fleet, request: &RequestRecord) -> bool {
    fleet.gateways[request.gateway].was_faulty(request.sent, request.ended)
}

/// Upstreams receive only requests that callers sent.
fn check_unsolicited(
    seen: &HashMap<String, Observations>,
    requests: &[RequestRecord],
    violations: &Violations,
) {
    let ids: HashSet<_> = requests.iter().map(|request| &request.id).collect();
    for id in seen.keys().filter(|id| !ids.contains(id)) {
        violations.add(format!("an upstream received a request that no caller sent: {id:?}"));
    }
}

/// An upstream that has left receives no new requests after [`LEAVING_GRACE`], unless a gateway was
/// suspended or could not reach the store.
fn check_leaving(fleet: &Fleet, violations: &Violations) {
    for upstream in fleet.upstreams.lock().iter() {
        let Some(left) = upstream.left else {
            continue;
        };
        let late = upstream.standin.arrivals().into_iter();
        let late = late.filter(|arrival| arrival.at > left + LEAVING_GRACE);
        for arrival in late {
            if !may_be_stale(fleet, left, arrival.at) {
                let instance = upstream.standin.instance();
                violations.add(format!("{instance} has left and received {:?}", arrival.headers));
            }
        }
    }
}

fn may_be_stale(fleet: &Fleet, from: Instant, to: Instant) -> bool {
    let store_failed = fleet.store_faults.iter().any(|fault| fault.overlaps(from, to));
    store_failed || fleet.gateways.iter().any(|gateway| gateway.was_faulty(from, to))
}
