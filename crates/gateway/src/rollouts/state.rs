//! The rollouts of all services as known to this gateway; does no input or output.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_policy::rollout::EvidenceStatus;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_policy::rollout::observed_share;

use super::BaselineUpdate;
use super::EvidenceReport;
use super::ProcessRun;
use super::ReportPath;
use super::ReportPosition;
use super::RolloutDecision;
use super::VersionRule;
use super::service_rollout::ServiceRollout;
use crate::control_store::RolloutChange;
use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// The rollouts of all services as known to this gateway.
#[derive(Debug, Default)]
pub struct Rollouts {
    config: RolloutConfig,
    /// Number of gateways in the fleet.
    gateways: usize,
    /// The run of this process; none in a model without one.
    local_run: Option<ProcessRun>,
    services: BTreeMap<ServiceName, ServiceRollout>,
    /// The position of the last report of a peer.
    last_report: ReportPosition,
    /// The store era in which the records were read last.
    records_era: StoreEra,
    /// The store's clock minus this process's clock when it was last read, in milliseconds.
    clock_offset_ms: Option<i64>,
}

impl Rollouts {
    /// Creates an empty state.
    pub fn new(config: RolloutConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// Sets the run of this process, whose own counts may be returned by peers.
    #[must_use]
    pub fn of_run(self, run: ProcessRun) -> Self {
        Self { local_run: Some(run), ..self }
    }

    /// Sets the number of gateways in the fleet.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Sets the store's clock.
    pub fn set_store_clock(&mut self, now: MonoTime, store_now_ms: u64) {
        self.clock_offset_ms = Some(store_now_ms.cast_signed() - local_ms(now));
    }

    /// Applies an operator's order that was read.
    pub fn apply_order(&mut self, order: RolloutOrder) {
        self.services.entry(order.service.clone()).or_default().apply_order(order);
    }

    /// Applies a record that was read. Records older than the known one are ignored.
    pub fn stored(&mut self, stored: StoredRollout) {
        self.records_era = self.records_era.max(stored.row_version.era);
        self.services.entry(stored.service.clone()).or_default().stored(stored);
    }

    /// Applies a complete read of the store at a version: there are records of these services only.
    pub fn retain_recorded(&mut self, version: StoreVersion, recorded: &BTreeSet<ServiceName>) {
        self.records_era = self.records_era.max(version.era);
        let others = self.services.iter_mut().filter(|(service, _)| !recorded.contains(service));
        others.for_each(|(_, rollout)| rollout.record_missing(version));
    }

    /// Whether there is an order for a service.
    pub fn has_order(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|rollout| rollout.known.order().is_some())
    }

    /// Whether a rollout is in progress.
    pub fn is_active(&self) -> bool {
        self.services.values().any(|rollout| {
            rollout.known.order().is_some()
                && rollout.current().is_none_or(|s| !s.record.is_settled())
        })
    }

    /// The versions that a request may go to. `unit` is a number from 0 to 1 that is fixed for the
    /// session or the request; `session_version` is the version that last served the session.
    pub fn rule(
        &self,
        now: MonoTime,
        service: &ServiceName,
        unit: f64,
        session_version: Option<&VersionName>,
    ) -> VersionRule {
        let Some(rollout) = self.services.get(service) else {
            return VersionRule::any();
        };
        rollout.rule(&self.config, self.store_now_ms(now), unit, session_version)
    }

    /// The versions that a repeat may go to, of a request that belongs to no session of a version. It is not
    /// sent to a version on trial: on a bad one it would fail again, and count once more as one of the few
    /// requests that such a version may get.
    pub fn rule_of_repeat(&self, now: MonoTime, service: &ServiceName) -> VersionRule {
        let Some(rollout) = self.services.get(service) else {
            return VersionRule::any();
        };
        rollout.rule_of_repeat(&self.config, self.store_now_ms(now))
    }

    /// Records the result of an attempt on a service's upstream.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        kind: &RequestKind,
        load: u32,
        observation: Observation,
    ) {
        let rollout = self.services.entry(service.clone()).or_default();
        rollout.observe(service, version, kind, load, observation);
    }

    /// The latency above which a response counts as slow, during a rollout.
    pub fn slow_threshold(
        &self,
        service: &ServiceName,
        kind: &RequestKind,
        load: u32,
    ) -> Option<Duration> {
        let rollout = self.services.get(service).filter(|rollout| rollout.is_running())?;
        rollout.evidence.slow_threshold(kind, load)
    }

    /// The local counts of rollouts in progress: service, row version of the order, and counts.
    pub fn local_evidence(&self) -> Vec<(ServiceName, StoreVersion, EvidenceTotals)> {
        let running = self.services.values().filter(|rollout| rollout.is_running());
        running
            .filter_map(|rollout| {
                let order = rollout.known.order()?;
                Some((order.service.clone(), order.row_version, rollout.evidence.own().clone()))
            })
            .collect()
    }

    /// How close the evidence of each rollout in progress is to a decision, and how many peers have
    /// sent theirs.
    pub fn statuses(&self) -> Vec<(ServiceName, EvidenceStatus, usize)> {
        let running = self.services.iter().filter(|(_, rollout)| rollout.is_running());
        let status = |(service, rollout): (&ServiceName, &ServiceRollout)| {
            (service.clone(), rollout.status(self.gateways), rollout.peers.len())
        };
        running.map(status).collect()
    }

    /// The services that send a share of the sessions to a new version: service, new version and share.
    pub fn canaries(&self) -> Vec<(ServiceName, VersionName, f64)> {
        let current = self.services.values().filter_map(ServiceRollout::current);
        let canaries = current.filter(|stored| stored.record.phase == RolloutPhase::Canary);
        let canary = |stored: &StoredRollout| {
            let share = observed_share(&self.config, &stored.record);
            (stored.service.clone(), stored.record.target.clone(), share)
        };
        canaries.map(canary).collect()
    }

    /// Merges the total counts of a peer since an order. Relays pass on what they were told, also to the
    /// gateway that counted: its own counts are ignored.
    pub fn apply_peer_evidence(&mut self, report: &EvidenceReport, path: ReportPath) {
        if self.local_run == Some(report.run) {
            return;
        }
        if let Some(rollout) = self.services.get_mut(&report.service) {
            self.last_report = self.last_report.next();
            rollout.apply_peer_evidence(report, path, self.last_report);
        }
    }

    /// The next reports to pass on to another relay: those of the gateways that report to this one, after
    /// a position, the earliest first and `max` at most; and the position up to which they go.
    pub fn reports_after(
        &self,
        position: ReportPosition,
        max: usize,
    ) -> (Vec<EvidenceReport>, ReportPosition) {
        let of_service = |rollout: &ServiceRollout| rollout.reports_after(position);
        let mut reports: Vec<_> = self.services.values().flat_map(of_service).collect();
        reports.sort_by_key(|(at, _)| *at);
        reports.truncate(max);
        let last = reports.last().map_or(position, |(at, _)| *at);
        (reports.into_iter().map(|(_, report)| report).collect(), last)
    }

    /// Whether a peer should be asked for the old version's baselines: a gateway that starts during a
    /// rollout, perhaps in a burst, has not seen an upstream as idle as those of the new version.
    pub fn needs_baselines(&self) -> bool {
        self.services.values().any(ServiceRollout::needs_baselines)
    }

    /// The old versions' baselines for rollouts in progress.
    pub fn baseline_updates(&self) -> Vec<BaselineUpdate> {
        self.services.values().flat_map(ServiceRollout::baseline_updates).collect()
    }

    /// Merges a baseline from a peer.
    pub fn apply_baseline_update(&mut self, time: BaselineUpdate) {
        if let Some(rollout) = self.services.get_mut(&time.service) {
            rollout.apply_baseline_update(time);
        }
    }

    /// The known outcomes of rollouts: versions found bad, here or by peers, that are not recorded yet,
    /// and completed orders.
    pub fn decisions(&self) -> Vec<RolloutDecision> {
        self.services.values().filter_map(ServiceRollout::decision).collect()
    }

    /// Merges the outcome of a rollout that a peer knows. A version that a peer found bad is bad here
    /// too: a gateway that started after the evidence was collected would otherwise complete the
    /// rollout. Completion matters to a gateway that cannot reach the store: it would go on sending
    /// requests to the old version, which is gone.
    pub fn apply_peer_update(&mut self, decision: &RolloutDecision) {
        if let Some(rollout) = self.services.get_mut(&decision.service) {
            rollout.apply_peer_update(decision);
        }
    }

    /// The writes that are due.
    pub fn due(&mut self, now: MonoTime) -> Vec<RolloutChange> {
        if self.clock_offset_ms.is_none() {
            return Vec::new();
        }
        let now_ms = self.store_now_ms(now);
        self.services.values_mut().for_each(|rollout| rollout.record_rate(now_ms));
        let due = |rollout: &ServiceRollout| {
            rollout.due(&self.config, now_ms, self.records_era, self.gateways)
        };
        self.services.values().filter_map(due).collect()
    }

    fn store_now_ms(&self, now: MonoTime) -> u64 {
        (local_ms(now) + self.clock_offset_ms.unwrap_or(0)).max(0).cast_unsigned()
    }

    /// The state of each rollout, for the state dump: service, record and row version.
    pub fn summary(&self) -> Vec<(ServiceName, RolloutRecord, StoreVersion)> {
        let stored = self.services.values().filter_map(|rollout| rollout.known.stored().cloned());
        stored.map(|stored| (stored.service, stored.record, stored.row_version)).collect()
    }
}

fn local_ms(now: MonoTime) -> i64 {
    let elapsed: Duration = now.since(MonoTime::default());
    i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
}
