//! Availability zones that operators empty and restore, and upstreams that warm up.

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

/// The zone that operators empty. Upstreams that requests crash are in another one.
const EMPTIED_ZONE: &str = "zone-0";

/// After this time no request may arrive in an emptied zone. The platform allows 5 s.
const EMPTY_ZONE_DELAY: Duration = Duration::from_secs(4);

/// The time until a gateway knows that an upstream is warming up, if it reaches the store or a peer
/// that does.
const COLD_PROPAGATION_TIME: Duration = Duration::from_millis(2_500);

/// A gateway that has been healthy for this time has read the current state of the store.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_500);

/// The limit of an upstream that warms up, by the services' configuration and the gateways'
/// settings. It is below the rate of requests that a warm upstream gets.
const COLD_PER_S: f64 = 2.0;
const OVERAGE: f64 = 1.5;
const SLACK_PER_S: f64 = 5.0;
const MAX_COLD_PER_S: usize = 8;

/// Sets the limit of upstreams that warm up in each service of a configuration.
pub(super) fn add_to(config: &mut Value) {
    for service in config["services"].as_array_mut().expect("a list of services") {
        service["cold_per_s"] = json!(COLD_PER_S);
    }
}

/// The gateways' settings for upstreams that warm up.
pub(super) fn cold_settings() -> Value {
    json!({ "overage": OVERAGE, "slack_per_s": SLACK_PER_S })
}

impl Fleet {
    /// Empties a zone and restores it after `duration`, unless one is emptied already.
    pub(super) fn empty_zone(&mut self, duration: Duration) {
        let now = Instant::now();
        if self.emptied.iter().any(|period| period.overlaps(now, now)) {
            return;
        }
        self.emptied.push(Period::from_now(duration));
        let row = format!("evacuate/{EMPTIED_ZONE}");
        self.store.put("op", &row, json!({}));
        let store = Arc::clone(&self.store);
        self.recover_after(duration, async move { store.remove("op", &row) });
    }

    /// Lists an upstream as warming up for `duration`.
    pub(super) fn begin_warm_up(&self, number: usize, duration: Duration) {
        let mut upstreams = self.upstreams.lock();
        if upstreams[number].left.is_none() {
            upstreams[number].cold.push(Period::from_now(duration));
            upstreams[number].list(&self.store, "ready");
        }
    }
}

/// Checks both limits against the requests that arrived at upstreams.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    let senders: HashMap<&str, usize> =
        requests.iter().map(|request| (request.id.as_str(), request.gateway)).collect();
    for upstream in fleet.upstreams.lock().iter() {
        check_emptied(fleet, &senders, upstream, violations);
        check_cold(fleet, &senders, upstream, violations);
    }
}

/// Checks that no gateway which knows that the zone is emptied sends a request there.
fn check_emptied(
    fleet: &Fleet,
    senders: &HashMap<&str, usize>,
    upstream: &Upstream,
    violations: &Violations,
) {
    if upstream.zone != EMPTIED_ZONE {
        return;
    }
    for period in &fleet.emptied {
        let from = period.from + EMPTY_ZONE_DELAY;
        let arrivals = upstream.standin.arrivals().into_iter();
        let late = arrivals.filter(|arrival| arrival.at > from && arrival.at < period.to);
        for arrival in late.filter(|arrival| has_current_state(fleet, senders, arrival)) {
            let instance = upstream.standin.instance();
            violations.add(format!("{instance} got {:?} in an emptied zone", arrival.headers));
        }
    }
}

/// Checks the requests per second at an upstream that warms up, from gateways that know of it.
fn check_cold(
    fleet: &Fleet,
    senders: &HashMap<&str, usize>,
    upstream: &Upstream,
    violations: &Violations,
) {
    for period in &upstream.cold {
        let from = period.from + COLD_PROPAGATION_TIME;
        let arrivals = upstream.standin.arrivals().into_iter();
        let while_cold = arrivals.filter(|arrival| arrival.at > from && arrival.at < period.to);
        let known = while_cold.filter(|arrival| has_current_state(fleet, senders, arrival));
        let times: Vec<Instant> = known.map(|arrival| arrival.at).collect();
        let busiest = times.iter().map(|first| count_in_second(&times, *first)).max().unwrap_or(0);
        if busiest > MAX_COLD_PER_S {
            let instance = upstream.standin.instance();
            violations.add(format!(
                "{instance} is warming up and got {busiest} requests within a second"
            ));
        }
    }
}

fn count_in_second(times: &[Instant], from: Instant) -> usize {
    let end = from + Duration::from_secs(1);
    times.iter().filter(|at| **at >= from && **at <= end).count()
}

/// Whether the gateway that sent a request, and its connection to the store, have been without
/// fault for [`PROPAGATION_TIME`], so that it has all state that is at least as old.
fn has_current_state(fleet: &Fleet, senders: &HashMap<&str, usize>, arrival: &Arrival) -> bool {
    let Some(gateway) = senders.get(arrival.header("request-id")).copied() else {
        return false;
    };
    let Some(from) = arrival.at.checked_sub(PROPAGATION_TIME) else {
        return false;
    };
    let other_link_faults = fleet.store_link_faults.iter().filter(|(of, _)| *of != gateway);
    let other_link_faults =
        other_link_faults.filter(|(_, period)| period.overlaps(from, arrival.at)).count();
    let all = fleet.store_faults.iter().filter(|period| period.overlaps(from, arrival.at)).count();
    all == other_link_faults && !fleet.gateways[gateway].was_faulty(from, arrival.at)
}
