//! Metrics of a sidecar.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use stallhoist_telemetry::MetricsPage;

/// Metrics of a sidecar.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) probes: Counter,
    pub(crate) dispatches: Counter,
    pub(crate) refusals: Counter,
    pub(crate) answers: Counter,
    pub(crate) failures: Counter,
    pub(crate) resumes: Counter,
    pub(crate) in_flight_requests: Gauge,
    pub(crate) queue_len_requests: Gauge,
    pub(crate) unsettled_bills: Gauge,
    pub(crate) revision: Gauge,
}

impl Metrics {
    pub(crate) fn register(&self, page: &mut MetricsPage) {
        let registry = page.registry_mut();
        registry.register("probes", "Probes answered", self.probes.clone());
        registry.register("dispatches", "Attempts that came to be run", self.dispatches.clone());
        registry.register("refusals", "Attempts refused, not run", self.refusals.clone());
        registry.register(
            "answers",
            "Attempts that ended with a whole answer",
            self.answers.clone(),
        );
        registry.register("failures", "Attempts that failed or broke off", self.failures.clone());
        registry.register("resumes", "Answers resumed on a new connection", self.resumes.clone());
        let in_flight = self.in_flight_requests.clone();
        registry.register("in_flight_requests", "Attempts that run", in_flight);
        let queue_len = self.queue_len_requests.clone();
        registry.register("queue_len_requests", "Attempts that wait", queue_len);
        let unsettled = self.unsettled_bills.clone();
        registry.register(
            "unsettled_bills",
            "Bill records held until the ledger has them",
            unsettled,
        );
        registry.register(
            "table_revision",
            "Revision of the table in force",
            self.revision.clone(),
        );
    }
}
