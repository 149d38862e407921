//! Checks that retries stay within the platform's limit for all gateways together.

use std::collections::HashMap;
use std::time::Instant;

use stallhoist_settings::GatewayRetrySettings;

use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::violations::Violations;
use crate::retry_limit::RetryTrace;

/// The settings of a run. In every third one the limit is low enough to be reached.
pub(super) fn settings(seed: u64) -> GatewayRetrySettings {
    if seed.is_multiple_of(3) {
        GatewayRetrySettings { fleet_ratio: 0.02, fleet_slack: 12.0 }
    } else {
        GatewayRetrySettings::default()
    }
}

/// Checks the limit for each service.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    for (service, trace) in traces(fleet, requests) {
        let excess = trace.worst_excess(&fleet.retries);
        if excess > 0.0 {
            let retries = trace.retries.len();
            violations
                .add(format!("{excess:.1} retries too many for {service} of {retries} in all"));
        }
    }
}

fn traces(fleet: &Fleet, requests: &[RequestRecord]) -> HashMap<&'static str, RetryTrace> {
    let Some(began) = requests.iter().map(|request| request.sent).min() else {
        return HashMap::new();
    };
    let mut arrivals: HashMap<String, Vec<Instant>> = HashMap::new();
    fleet.visit_arrivals(|id, arrival| arrivals.entry(id.to_owned()).or_default().push(arrival.at));
    let mut traces: HashMap<_, RetryTrace> = HashMap::new();
    for request in requests {
        let trace = traces.entry(request.kind.service()).or_default();
        trace.requests.push(request.sent.duration_since(began));
        let mut times = arrivals.get(&request.id).cloned().unwrap_or_default();
        times.sort_unstable();
        let retries = times.iter().skip(1).map(|at| at.duration_since(began));
        trace.retries.extend(retries);
    }
    for trace in traces.values_mut() {
        trace.requests.sort_unstable();
        trace.retries.sort_unstable();
    }
    traces
}
