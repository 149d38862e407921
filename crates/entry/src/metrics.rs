//! The metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use stallhoist_telemetry::MetricsPage;

/// The label with the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    pub(crate) outcome: String,
}

/// The metrics of an entry.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) requests: Family<OutcomeLabel, Counter>,
    pub(crate) attempts: Counter,
    pub(crate) retries: Counter,
    pub(crate) resumes: Counter,
    pub(crate) probes: Counter,
    pub(crate) store_reads: Counter,
    pub(crate) bills_with_one_holder: Counter,
    pub(crate) in_flight_requests: Gauge,
    pub(crate) unsettled_bills: Gauge,
    pub(crate) revision: Gauge,
    pub(crate) connected_sidecars: Gauge,
    pub(crate) first_byte_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            probes: Counter::default(),
            store_reads: Counter::default(),
            bills_with_one_holder: Counter::default(),
            in_flight_requests: Gauge::default(),
            unsettled_bills: Gauge::default(),
            revision: Gauge::default(),
            connected_sidecars: Gauge::default(),
            first_byte_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        }
    }
}

impl Metrics {
    pub(crate) fn register(&self, page: &mut MetricsPage) {
        let registry = page.registry_mut();
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("attempts", "Attempts sent to sidecars", self.attempts.clone());
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register("resumes", "Answers resumed after a cut", self.resumes.clone());
        registry.register("probes", "Probes sent", self.probes.clone());
        registry.register("store_reads", "Reads of the table's head", self.store_reads.clone());
        let without_neighbour = self.bills_with_one_holder.clone();
        let help = "Bill records that no neighbour in another zone confirmed";
        registry.register("bills_without_neighbour", help, without_neighbour);
        let in_flight = self.in_flight_requests.clone();
        registry.register("in_flight_requests", "Requests in progress", in_flight);
        let unsettled = self.unsettled_bills.clone();
        registry.register("unsettled_bills", "Bill records not yet in the ledger", unsettled);
        registry.register(
            "table_revision",
            "Revision of the table in force",
            self.revision.clone(),
        );
        let connected = self.connected_sidecars.clone();
        registry.register("connected_sidecars", "Connections that are up", connected);
        let first_byte = self.first_byte_seconds.clone();
        registry.register("first_byte_seconds", "Time to the first part of an answer", first_byte);
    }
}
