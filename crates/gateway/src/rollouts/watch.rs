//! The task that reports how close the evidence of each rollout is to a decision.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;
use stallhoist_policy::rollout::EvidenceStatus;
use stallhoist_policy::rollout::RouteCounts;
use stallhoist_policy::rollout::VersionCounts;

use crate::metrics::EvidenceLabels;
use crate::metrics::LoadLabels;
use crate::metrics::Metrics;
use crate::metrics::RolloutResponseLabels;
use crate::metrics::RolloutResult;
use crate::metrics::RolloutSide;
use crate::state::GatewayState;

/// How often the evidence is reported: a rollout of 16 s, the shortest in use, gets eight lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Number of routes in a line of the log.
const MAX_LOGGED_ROUTES: usize = 4;

/// Reports the evidence of each rollout in progress. Never returns.
pub(crate) async fn watch(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let statuses = state.rollouts.lock().statuses();
        for (service, status, entries_told) in &statuses {
            update_metrics(&state.metrics, service, status);
            log_status(service, status, *entries_told);
        }
    }
}

/// Reports the evidence that a step of a service's rollout rests on.
pub(super) fn log_evidence_of(state: &GatewayState, service: &ServiceName) {
    let statuses = state.rollouts.lock().statuses();
    for (_, status, entries_told) in statuses.iter().filter(|(of, ..)| of == service) {
        log_status(service, status, *entries_told);
    }
}

fn update_metrics(metrics: &Metrics, service: &ServiceName, status: &EvidenceStatus) {
    for (test, strength) in &status.strengths {
        let labels = EvidenceLabels { service: service.to_string(), test: format!("{test:?}") };
        metrics.rollout_evidence.get_or_create(&labels).set(*strength);
    }
    for (side, counts) in [(RolloutSide::Old, status.all.old), (RolloutSide::New, status.all.new)] {
        let answered = counts.answers.saturating_sub(counts.failures);
        let results =
            [(RolloutResult::Answered, answered), (RolloutResult::Failed, counts.failures)];
        for (result, responses) in results {
            let labels = RolloutResponseLabels { service: service.to_string(), side, result };
            let responses = i64::try_from(responses).unwrap_or(i64::MAX);
            metrics.rollout_responses.get_or_create(&labels).set(responses);
        }
    }
    let loads = [(RolloutSide::Old, status.old_load), (RolloutSide::New, status.new_load)];
    for (side, load) in loads {
        let labels = LoadLabels { service: service.to_string(), side };
        metrics.rollout_load.get_or_create(&labels).set(load.requests());
    }
}

fn log_status(service: &ServiceName, status: &EvidenceStatus, entries_told: usize) {
    let strengths: Vec<_> =
        status.strengths.iter().map(|(test, value)| format!("{test:?} {value:.1}")).collect();
    let harms: Vec<_> =
        status.harms.iter().map(|(test, harm)| format!("{test:?} {harm:.2}")).collect();
    log::info!(
        service:% = service,
        strengths = strengths.join(", "),
        needed = format!("{:.1}", status.needed_strength),
        harms = harms.join(", "),
        judgement:? = status.judgement,
        old = counts(status.all.old),
        new = counts(status.all.new),
        own_new = counts(status.own.new),
        old_load = format!("{:.1}", status.old_load.requests()),
        new_load = format!("{:.1}", status.new_load.requests()),
        routes = routes(status),
        entries_told;
        "evidence of the roll-out"
    );
}

/// The responses on the routes with the most requests.
fn routes(status: &EvidenceStatus) -> String {
    let mut routes: Vec<_> = status.all.routes.iter().collect();
    routes.sort_by_key(|(_, counts)| Reverse(counts.old.answers + counts.new.answers));
    let text = |(route, RouteCounts { old, new }): (&RouteName, &RouteCounts)| {
        let (old_failures, new_failures) = (old.failures, new.failures);
        format!(
            "{route}: new {new_failures} failed of {}, old {old_failures} of {}",
            new.answers, old.answers
        )
    };
    routes.into_iter().take(MAX_LOGGED_ROUTES).map(text).collect::<Vec<_>>().join("; ")
}

fn counts(counts: VersionCounts) -> String {
    let VersionCounts { answers, failures, first_parts, paces } = counts;
    format!(
        "{failures} failed of {answers}, first parts {} slow of {}, paces {} slow of {}",
        first_parts.slow, first_parts.timed, paces.slow, paces.timed
    )
}
