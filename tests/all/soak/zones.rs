//! Availability zones that operators empty and take back, and upstreams that turn cold.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Arrival;

use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::period::Period;
use super::upstream::Upstream;
use super::violations::Violations;

/// The zone that is emptied now and then. Upstreams that requests end are in another.
const EMPTIED: &str = "zone-0";

/// Nothing more arrives in an emptied zone after so long: the platform allows 5 s.
const EMPTIED_TIME: Duration = Duration::from_secs(4);

/// A gateway that reaches the store, or others that do, knows by then that an upstream is cold.
const COLD_KNOWN_TIME: Duration = Duration::from_millis(2_500);

/// One that has been well for so long knows what the store says.
const KNOWN_TIME: Duration = Duration::from_millis(2_500);

/// What a cold upstream bears, by the services' configuration and the gateways' settings: fewer
/// requests than it gets when it is warm.
const COLD_PER_S: f64 = 2.0;
const OVERAGE: f64 = 1.5;
const SLACK_PER_S: f64 = 5.0;
const BOUND_PER_S: usize = 8;

/// What operators say of cold upstreams of a service.
pub(super) fn add_to(config: &mut Value) {
    for service in config["services"].as_array_mut().expect("a list of services") {
        service["cold_per_s"] = json!(COLD_PER_S);
    }
}

/// What gateways are told of cold upstreams.
pub(super) fn cold_settings() -> Value {
    json!({ "overage": OVERAGE, "slack_per_s": SLACK_PER_S })
}

impl Fleet {
    /// Operators empty a zone, and take it back.
    pub(super) fn empty_zone(&mut self, lasts: Duration) {
        let now = Instant::now();
        if self.emptied.iter().any(|period| period.overlaps(now, now)) {
            return;
        }
        self.emptied.push(Period::from_now(lasts));
        let row = format!("evacuate/{EMPTIED}");
        self.store.put("op", &row, json!({}));
        let store = Arc::clone(&self.store);
        self.recover_after(lasts, async move { store.remove("op", &row) });
    }

    /// An upstream says that it is cold.
    pub(super) fn turn_cold(&self, number: usize, lasts: Duration) {
        let mut upstreams = self.upstreams.lock();
        if upstreams[number].left.is_none() {
            upstreams[number].cold.push(Period::from_now(lasts));
            upstreams[number].list(&self.store, "ready");
        }
    }
}

/// Checks both bounds from what upstreams have seen.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    let senders: HashMap<&str, usize> =
        requests.iter().map(|request| (request.id.as_str(), request.gateway)).collect();
    for upstream in fleet.upstreams.lock().iter() {
        check_emptied(fleet, &senders, upstream, violations);
        check_cold(fleet, &senders, upstream, violations);
    }
}

/// What is sent to an emptied zone, by a gateway that knows of it.
fn check_emptied(
    fleet: &Fleet,
    senders: &HashMap<&str, usize>,
    upstream: &Upstream,
    violations: &Violations,
) {
    if upstream.zone != EMPTIED {
        return;
    }
    for period in &fleet.emptied {
        let from = period.from + EMPTIED_TIME;
        let arrivals = upstream.standin.arrivals().into_iter();
        let late = arrivals.filter(|arrival| arrival.at > from && arrival.at < period.to);
        for arrival in late.filter(|arrival| knows(fleet, senders, arrival)) {
            let instance = upstream.standin.instance();
            violations.add(format!("{instance} got {:?} in an emptied zone", arrival.headers));
        }
    }
}

/// What comes to a cold upstream in one second, from gateways that know of it.
fn check_cold(
    fleet: &Fleet,
    senders: &HashMap<&str, usize>,
    upstream: &Upstream,
    violations: &Violations,
) {
    for period in &upstream.cold {
        let from = period.from + COLD_KNOWN_TIME;
        let arrivals = upstream.standin.arrivals().into_iter();
        let while_cold = arrivals.filter(|arrival| arrival.at > from && arrival.at < period.to);
        let known = while_cold.filter(|arrival| knows(fleet, senders, arrival));
        let times: Vec<Instant> = known.map(|arrival| arrival.at).collect();
        let busiest = times.iter().map(|first| in_second(&times, *first)).max().unwrap_or(0);
        if busiest > BOUND_PER_S {
            let instance = upstream.standin.instance();
            violations.add(format!("{instance} is cold and got {busiest} within a second"));
        }
    }
}

fn in_second(times: &[Instant], from: Instant) -> usize {
    let end = from + Duration::from_secs(1);
    times.iter().filter(|at| **at >= from && **at <= end).count()
}

/// Whether the gateway that sent a request has been well for so long, and the store as well, that it
/// knows what has been true for as long.
fn knows(fleet: &Fleet, senders: &HashMap<&str, usize>, arrival: &Arrival) -> bool {
    let Some(gateway) = senders.get(arrival.header("request-id")).copied() else {
        return false;
    };
    let Some(from) = arrival.at.checked_sub(KNOWN_TIME) else {
        return false;
    };
    let of_others = fleet.store_link_faults.iter().filter(|(of, _)| *of != gateway);
    let of_others = of_others.filter(|(_, period)| period.overlaps(from, arrival.at)).count();
    let all = fleet.store_faults.iter().filter(|period| period.overlaps(from, arrival.at)).count();
    all == of_others && !fleet.gateways[gateway].was_faulty(from, arrival.at)
}
