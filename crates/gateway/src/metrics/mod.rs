//! The gateway's metrics.

mod labels;

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use stallhoist_core::EngineTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::fatal::ResponsePhase;
use stallhoist_telemetry::MetricsPage;

use crate::duties::DutyStatus;
use crate::peers::Origin;
use crate::upstreams::UpstreamCounts;

pub(crate) use labels::AdmissionLabels;
pub(crate) use labels::AdmissionResult;
pub(crate) use labels::AttemptLabels;
pub(crate) use labels::AttemptResult;
pub(crate) use labels::EngineTimeLabels;
pub(crate) use labels::EngineTimeUse;
pub(crate) use labels::EvidenceLabels;
pub(crate) use labels::FeedLabels;
pub(crate) use labels::LoadLabels;
pub(crate) use labels::PhaseLabels;
pub(crate) use labels::RequestLabels;
pub(crate) use labels::RequestOutcome;
pub(crate) use labels::RetryLabels;
pub(crate) use labels::RolloutResponseLabels;
pub(crate) use labels::RolloutResult;
pub(crate) use labels::RolloutSide;
pub(crate) use labels::SlowdownLabels;
pub(crate) use labels::SlowdownRank;
pub(crate) use labels::UsageLabels;
pub(crate) use labels::UsageResult;

/// A gauge of a fraction.
pub(crate) type FractionGauge = Gauge<f64, AtomicU64>;

/// The gateway's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) attempts: Family<AttemptLabels, Counter>,
    pub(crate) retries: Family<RetryLabels, Counter>,
    pub(crate) engine_time_ms: Family<EngineTimeLabels, Counter>,
    pub(crate) admissions: Family<AdmissionLabels, Counter>,
    pub(crate) waiting: Gauge,
    pub(crate) waited_s: Histogram,
    pub(crate) retry_after_s: Histogram,
    pub(crate) streams_resumed: Counter,
    pub(crate) streams_broken: Counter,
    /// Silent streams that no other upstream may or can take.
    pub(crate) streams_awaited: Counter,
    pub(crate) upstream_ends: Counter,
    /// Responses that broke when their upstream crashed, by how far they had come.
    pub(crate) responses_broken_by_crashes: Family<PhaseLabels, Counter>,
    /// Poor responses that were not replaced, as engines lack time.
    pub(crate) step_ups_spared: Counter,
    /// Requests that waited until this gateway might have one more connection to an upstream.
    pub(crate) connection_waits: Counter,
    /// Connections to upstreams that were established.
    pub(crate) connections_opened: Counter,
    pub(crate) in_progress: Gauge,
    pub(crate) caller_memory_bytes: Gauge,
    /// Connections of callers that were closed to accept others.
    pub(crate) caller_connections_closed: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) upstreams: Gauge,
    pub(crate) cold_upstreams: Gauge,
    pub(crate) limited_upstreams: Gauge,
    pub(crate) resting_upstreams: Gauge,
    pub(crate) emptied_zones: Gauge,
    pub(crate) store_failures: Counter,
    /// Calls to the store that were repeated before they timed out.
    pub(crate) store_calls_repeated: Counter,
    pub(crate) unreadable_rows: Counter,
    pub(crate) news_bytes: Family<FeedLabels, Counter>,
    pub(crate) first_part_s: Histogram,
    pub(crate) rollout_evidence: Family<EvidenceLabels, FractionGauge>,
    pub(crate) rollout_load: Family<LoadLabels, FractionGauge>,
    pub(crate) rollout_responses: Family<RolloutResponseLabels, Gauge>,
    pub(crate) upstream_slowdown: Family<SlowdownLabels, FractionGauge>,
    pub(crate) load_figures_rejected: Counter,
    pub(crate) usage_reports: Family<UsageLabels, Counter>,
    pub(crate) holds_duties: Gauge,
    pub(crate) duty_epoch: Gauge,
    pub(crate) usage_sent_through: Gauge,
}

/// Histogram bounds from 1 ms to 32 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKETS: u16 = 16;

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            engine_time_ms: Family::default(),
            admissions: Family::default(),
            waiting: Gauge::default(),
            waited_s: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            retry_after_s: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            streams_resumed: Counter::default(),
            streams_broken: Counter::default(),
            streams_awaited: Counter::default(),
            upstream_ends: Counter::default(),
            responses_broken_by_crashes: Family::default(),
            step_ups_spared: Counter::default(),
            connection_waits: Counter::default(),
            connections_opened: Counter::default(),
            in_progress: Gauge::default(),
            caller_memory_bytes: Gauge::default(),
            caller_connections_closed: Counter::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            upstreams: Gauge::default(),
            cold_upstreams: Gauge::default(),
            limited_upstreams: Gauge::default(),
            resting_upstreams: Gauge::default(),
            emptied_zones: Gauge::default(),
            store_failures: Counter::default(),
            store_calls_repeated: Counter::default(),
            unreadable_rows: Counter::default(),
            news_bytes: Family::default(),
            first_part_s: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            rollout_evidence: Family::default(),
            rollout_load: Family::default(),
            rollout_responses: Family::default(),
            upstream_slowdown: Family::default(),
            load_figures_rejected: Counter::default(),
            usage_reports: Family::default(),
            holds_duties: Gauge::default(),
            duty_epoch: Gauge::default(),
            usage_sent_through: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registers all metrics with a page.
    pub(crate) fn register(&self, page: &mut MetricsPage) {
        let r = page.registry_mut();
        r.register("requests", "Requests by how they ended", self.requests.clone());
        r.register("attempts", "Attempts by how they ended", self.attempts.clone());
        let help = "Retries by what they were for and whether the retry budget granted them";
        r.register("retries", help, self.retries.clone());
        let help = "Expected engine time of attempts in milliseconds, by what it was used for";
        r.register("engine_time_ms", help, self.engine_time_ms.clone());
        let help =
            "Attempts by whether they were sent, had to wait or were rejected for lack of room";
        r.register("admissions", help, self.admissions.clone());
        r.register("waiting", "Requests that wait for room at an upstream", self.waiting.clone());
        let help = "Time that requests waited for room at an upstream";
        r.register("waited_seconds", help, self.waited_s.clone());
        let help = "Retry-After of requests rejected for lack of room";
        r.register("retry_after_seconds", help, self.retry_after_s.clone());
        r.register("streams_resumed", "Streams continued elsewhere", self.streams_resumed.clone());
        r.register("streams_broken", "Streams that broke off", self.streams_broken.clone());
        let help = "Silent streams that no other upstream may or can take";
        r.register("streams_awaited", help, self.streams_awaited.clone());
        let help = "Requests that broke off because their upstream's process had ended";
        r.register("upstream_ends", help, self.upstream_ends.clone());
        let help = "Responses that broke as their upstream crashed, by how far they had come";
        let broken = self.responses_broken_by_crashes.clone();
        r.register("responses_broken_by_crashes", help, broken);
        let help = "Poor responses that were not replaced, as engines lack time";
        r.register("step_ups_spared", help, self.step_ups_spared.clone());
        let help = "Requests that waited for a free connection to an upstream";
        r.register("connection_waits", help, self.connection_waits.clone());
        let help = "Connections to upstreams that were established";
        r.register("connections_opened", help, self.connections_opened.clone());
        r.register("in_progress", "Requests in progress", self.in_progress.clone());
        let help = "Memory that requests and responses of callers hold";
        r.register("caller_memory_bytes", help, self.caller_memory_bytes.clone());
        let help = "Connections of callers that were closed to accept others";
        r.register("caller_connections_closed", help, self.caller_connections_closed.clone());
        r.register("config_version", "Configuration in force", self.config_version.clone());
        r.register(
            "store_era",
            "How often the store came back from a copy",
            self.store_era.clone(),
        );
        r.register("upstreams", "Upstreams that are known", self.upstreams.clone());
        let help = "Upstreams that are cold, to which only some requests may be sent";
        r.register("cold_upstreams", help, self.cold_upstreams.clone());
        let help = "Upstreams that name a limit of requests a second";
        r.register("limited_upstreams", help, self.limited_upstreams.clone());
        let help = "Upstreams that have asked this entry for rest";
        r.register("resting_upstreams", help, self.resting_upstreams.clone());
        let help = "Availability zones whose upstreams get nothing more";
        r.register("emptied_zones", help, self.emptied_zones.clone());
        r.register("store_failures", "Failed calls to the store", self.store_failures.clone());
        let help = "Calls to the store repeated for lack of an answer, before they timed out";
        r.register("store_calls_repeated", help, self.store_calls_repeated.clone());
        let help = "Rows of the store that cannot be read";
        r.register("unreadable_rows", help, self.unreadable_rows.clone());
        let help = "Bytes of news from other entries as they travel, and of values from the store";
        r.register("news_bytes", help, self.news_bytes.clone());
        let help = "Time from arrival to the first part of the answer";
        r.register("first_part_seconds", help, self.first_part_s.clone());
        let help = "Decimal logarithm of how much likelier the answers are of a worse version";
        r.register("rollout_evidence", help, self.rollout_evidence.clone());
        let help = "Mean of the requests in progress at the upstreams whose times were compared";
        r.register("rollout_load", help, self.rollout_load.clone());
        let help =
            "Responses of all entries that a roll-out is judged by, as far as they are known";
        r.register("rollout_responses", help, self.rollout_responses.clone());
        let help =
            "Duration of work at an upstream relative to its service's usual one, as learned";
        r.register("upstream_slowdown", help, self.upstream_slowdown.clone());
        let help = "Slots and paces that upstreams reported and that are implausible";
        r.register("load_figures_rejected", help, self.load_figures_rejected.clone());
        let help = "Usage reports of this gateway by what became of them";
        r.register("usage_reports", help, self.usage_reports.clone());
        let help = "Whether this gateway holds the lease of the duties";
        r.register("holds_duties", help, self.holds_duties.clone());
        let help = "Fencing token of the holder of the duties";
        r.register("duty_epoch", help, self.duty_epoch.clone());
        let help = "Last window up to which all usage reports are done";
        r.register("usage_sent_through", help, self.usage_sent_through.clone());
    }

    /// Sets the gauges of upstream counts.
    pub(crate) fn set_upstream_counts(&self, counts: &UpstreamCounts) {
        set(&self.upstreams, counts.known);
        set(&self.cold_upstreams, counts.cold);
        set(&self.limited_upstreams, counts.limited);
        set(&self.resting_upstreams, counts.resting);
        set(&self.emptied_zones, counts.emptied_zones);
    }

    /// Sets the gauges of the slowdowns of each service's upstreams.
    pub(crate) fn set_slowdowns(&self, slowdowns: Vec<(ServiceName, [f64; 3])>) {
        let ranks = [SlowdownRank::Least, SlowdownRank::Median, SlowdownRank::Greatest];
        for (service, slowdowns) in slowdowns {
            for (rank, slowdown) in ranks.into_iter().zip(slowdowns) {
                let labels = SlowdownLabels { service: service.to_string(), rank };
                self.upstream_slowdown.get_or_create(&labels).set(slowdown);
            }
        }
    }

    /// Sets the gauges of the duties.
    pub(crate) fn set_duties(&self, status: Option<&DutyStatus>) {
        let Some(status) = status else {
            return;
        };
        set(&self.holds_duties, u64::from(status.is_local));
        set(&self.duty_epoch, status.epoch.0);
        set(&self.usage_sent_through, status.sent_through.0);
    }

    pub(crate) fn record_usage(&self, result: UsageResult, reports: u64) {
        self.usage_reports.get_or_create(&UsageLabels { result }).inc_by(reports);
    }

    pub(crate) fn record_feed_bytes(&self, origin: Origin, bytes: usize) {
        self.news_bytes.get_or_create(&FeedLabels { origin }).inc_by(bytes as u64);
    }

    pub(crate) fn record_request(&self, end: RequestOutcome) {
        self.requests.get_or_create(&RequestLabels { end }).inc();
    }

    pub(crate) fn record_engine_time(
        &self,
        service: &ServiceName,
        used_for: EngineTimeUse,
        time: EngineTime,
    ) {
        let labels = EngineTimeLabels { service: service.to_string(), used_for };
        self.engine_time_ms.get_or_create(&labels).inc_by(time.as_millis().round() as u64);
    }

    pub(crate) fn record_admission(&self, result: AdmissionResult) {
        self.admissions.get_or_create(&AdmissionLabels { result }).inc();
    }

    /// Sets the number of requests that wait for room.
    pub(crate) fn set_waiting(&self, waiting: usize) {
        set(&self.waiting, waiting);
    }

    /// Sets the memory that requests and responses of callers hold.
    pub(crate) fn set_caller_memory(&self, bytes: usize) {
        set(&self.caller_memory_bytes, bytes);
    }

    pub(crate) fn record_broken_by_crash(&self, phase: ResponsePhase) {
        let labels = PhaseLabels { phase: phase.to_string() };
        self.responses_broken_by_crashes.get_or_create(&labels).inc();
    }

    pub(crate) fn record_attempt(&self, result: AttemptResult) {
        self.attempts.get_or_create(&AttemptLabels { result }).inc();
    }
}

/// Sets a gauge to a value, or to the maximum if the value is greater.
fn set(gauge: &Gauge, value: impl TryInto<i64>) {
    gauge.set(value.try_into().unwrap_or(i64::MAX));
}
