//! The task that shows how near the evidence of each roll-out is to a verdict.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::ServiceName;
use stallhoist_policy::rollout::EvidenceStatus;
use stallhoist_policy::rollout::VersionCounts;

use crate::metrics::EvidenceLabels;
use crate::metrics::LoadLabels;
use crate::metrics::Metrics;
use crate::metrics::RolloutSide;
use crate::state::GatewayState;

/// How often it is shown: a roll-out of the shortest duration in use, 16 s, gets eight lines.
const SHOW_EVERY: Duration = Duration::from_secs(2);

/// Shows the evidence of each roll-out that is under way, for ever.
pub(crate) async fn watch(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(SHOW_EVERY).await;
        let statuses = state.rollouts.lock().statuses();
        for (service, status, entries_told) in &statuses {
            measure(&state.metrics, service, status);
            show(service, status, *entries_told);
        }
    }
}

fn measure(metrics: &Metrics, service: &ServiceName, status: &EvidenceStatus) {
    for (test, strength) in &status.strengths {
        let labels = EvidenceLabels { service: service.to_string(), test: format!("{test:?}") };
        metrics.rollout_evidence.get_or_create(&labels).set(*strength);
    }
    let loads = [(RolloutSide::Old, status.old_load), (RolloutSide::New, status.new_load)];
    for (side, load) in loads {
        let labels = LoadLabels { service: service.to_string(), side };
        metrics.rollout_load.get_or_create(&labels).set(load.requests());
    }
}

fn show(service: &ServiceName, status: &EvidenceStatus, entries_told: usize) {
    let strengths: Vec<_> =
        status.strengths.iter().map(|(test, value)| format!("{test:?} {value:.1}")).collect();
    log::info!(
        service:% = service,
        strengths = strengths.join(", "),
        needed = format!("{:.1}", status.needed_strength),
        old = counts(status.all.old),
        new = counts(status.all.new),
        own_new = counts(status.own.new),
        old_load = format!("{:.1}", status.old_load.requests()),
        new_load = format!("{:.1}", status.new_load.requests()),
        entries_told;
        "evidence of the roll-out"
    );
}

fn counts(counts: VersionCounts) -> String {
    let VersionCounts { answers, failures, first_parts, paces } = counts;
    format!(
        "{failures} failed of {answers}, first parts {} slow of {}, paces {} slow of {}",
        first_parts.slow, first_parts.timed, paces.slow, paces.timed
    )
}
