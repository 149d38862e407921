//! The state of the rollout of one service at this gateway.

use stallhoist_core::ServiceName;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::EvidenceStatus;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::Judgement;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RateTrend;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutEvidence;
use stallhoist_policy::rollout::RolloutPhase;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_policy::rollout::RolloutStep;
use stallhoist_policy::rollout::canary_share;
use stallhoist_policy::rollout::next_step;

use super::BaselineUpdate;
use super::EvidenceReport;
use super::ReportPath;
use super::ReportPosition;
use super::RolloutDecision;
use super::RolloutOutcome;
use super::order_and_record::OrderAndRecord;
use super::peer_counts::PeerCounts;
use crate::control_store::RolloutChange;
use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// The state of the rollout of one service at this gateway.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) known: OrderAndRecord,
    pub(super) evidence: RolloutEvidence,
    pub(super) peers: PeerCounts,
    /// The request rate since the order.
    trend: RateTrend,
    /// Whether the target of the record was found bad, here or by a peer.
    pub(super) is_found_bad: bool,
    /// Whether a peer has sent baselines of the old version.
    has_peer_baselines: bool,
    /// Whether a peer has read that the order is completed.
    is_completed_at_peer: bool,
    /// Whether the evidence is of the target as the active version.
    has_adopted_target: bool,
}

impl ServiceRollout {
    /// The record, if it belongs to the newest order.
    pub(super) fn current(&self) -> Option<&StoredRollout> {
        self.known.current()
    }

    pub(super) fn is_running(&self) -> bool {
        !self.is_completed() && self.current().is_some_and(|stored| !stored.record.is_settled())
    }

    pub(super) fn is_completed(&self) -> bool {
        let is_completed = |stored: &StoredRollout| stored.record.phase == RolloutPhase::Completed;
        self.is_completed_at_peer || self.current().is_some_and(is_completed)
    }

    /// Resets the evidence for a new order. Baselines of the active version are kept, also those from
    /// before the order, so that the new version is compared with them at once, at any observed load.
    fn reset_new_version(&mut self, was_completed: bool) {
        let evidence = std::mem::take(&mut self.evidence);
        if !was_completed || self.has_adopted_target {
            self.evidence = evidence.for_next_order();
        }
        self.has_adopted_target = false;
    }

    /// Records the result of an attempt on an upstream of a version.
    pub(super) fn observe(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        kind: &RequestKind,
        load: u32,
        observation: Observation,
    ) {
        let is_target = self.known.order().is_some_and(|order| order.target == *version);
        match (is_target, self.is_completed()) {
            (true, false) => self.evidence.new_version(kind, load, observation),
            (false, false) => self.evidence.old_version(kind, load, observation),
            (true, true) => {
                self.adopt_target();
                self.evidence.old_version(kind, load, observation);
            }
            // The version that is being stopped.
            (false, true) => {}
        }
        self.decide(service);
    }

    /// Makes the new version the active one, with which the next one is compared.
    fn adopt_target(&mut self) {
        if !self.has_adopted_target {
            self.has_adopted_target = true;
            self.evidence = RolloutEvidence::default();
        }
    }

    /// Marks the new version as bad if the evidence is sufficient.
    fn decide(&mut self, service: &ServiceName) {
        if self.is_found_bad || !self.is_running() || !self.evidence.is_bad() {
            return;
        }
        self.is_found_bad = true;
        let own = self.evidence.own().new;
        log::warn!(
            service:% = service,
            answers = own.answers,
            failures = own.failures,
            slow_first_parts = own.first_parts.slow,
            slow_paces = own.paces.slow,
            entries_told = self.peers.len();
            "the new version is worse than the old one"
        );
    }

    /// Applies an operator's order that was read. After the store was restored from a copy, the known
    /// order may be read again from another row.
    pub(super) fn apply_order(&mut self, order: RolloutOrder) {
        let is_completed = self.is_completed();
        if self.known.set_order(order) {
            self.reset_new_version(is_completed);
            self.peers.clear();
            self.trend = RateTrend::default();
            self.is_found_bad = false;
            self.has_peer_baselines = false;
            self.is_completed_at_peer = false;
        }
    }

    /// Applies a record that was read. Records older than the known one are ignored.
    pub(super) fn stored(&mut self, stored: StoredRollout) {
        self.known.set_record(stored);
    }

    /// Applies a complete read of the records at a version, without one for this service.
    pub(super) fn record_missing(&mut self, version: StoreVersion) {
        self.known.set_record_missing(version);
    }

    /// Whether a peer's update is on the known order. Compares the number alone, as the same order has
    /// another row version once it is written again.
    fn is_for_order(&self, peer_version: StoreVersion) -> bool {
        self.known.order_version().is_some_and(|local| local.number == peer_version.number)
    }

    /// Merges the total counts of a peer since an order.
    pub(super) fn apply_peer_evidence(
        &mut self,
        report: &EvidenceReport,
        path: ReportPath,
        position: ReportPosition,
    ) {
        if !self.is_for_order(report.order_version) {
            return;
        }
        let more = self.peers.merge(report, path, position);
        self.evidence.add_peer_counts(&more);
        self.decide(&report.service);
    }

    /// The reports to pass on to other relays: those after a position, with their positions.
    pub(super) fn reports_after(
        &self,
        position: ReportPosition,
    ) -> Vec<(ReportPosition, EvidenceReport)> {
        let Some(order) = self.known.order().filter(|_| self.is_running()) else {
            return Vec::new();
        };
        let reports = self.peers.reported_after(position);
        let with_order = reports.map(|(at, host, run, totals)| {
            let (service, order_version) = (order.service.clone(), order.row_version);
            (at, EvidenceReport { host: host.clone(), run, service, order_version, totals })
        });
        with_order.collect()
    }

    /// Whether a peer should be asked for the old version's baselines.
    pub(super) fn needs_baselines(&self) -> bool {
        self.is_running() && !self.has_peer_baselines
    }

    /// The old version's baselines during a rollout.
    pub(super) fn baseline_updates(&self) -> Vec<BaselineUpdate> {
        let Some(order) = self.known.order().filter(|_| self.is_running()) else {
            return Vec::new();
        };
        let to_update = |(kind, known): (&RequestKind, BaselineLatency)| BaselineUpdate {
            service: order.service.clone(),
            order_version: order.row_version,
            kind: kind.clone(),
            known,
        };
        self.evidence.baseline_updates().map(to_update).collect()
    }

    /// Merges a baseline from a peer.
    pub(super) fn apply_baseline_update(&mut self, time: BaselineUpdate) {
        if self.is_for_order(time.order_version) {
            self.has_peer_baselines = true;
            self.evidence.apply_baseline_update(time.kind, time.known);
        }
    }

    /// The known outcome of the rollout.
    pub(super) fn decision(&self) -> Option<RolloutDecision> {
        let order = self.known.order()?;
        let outcome = if self.is_completed() {
            RolloutOutcome::Completed
        } else if self.is_found_bad && self.is_running() {
            RolloutOutcome::Bad
        } else {
            return None;
        };
        let (service, order_version) = (order.service.clone(), order.row_version);
        Some(RolloutDecision { service, order_version, outcome })
    }

    /// Merges the outcome that a peer knows.
    pub(super) fn apply_peer_update(&mut self, decision: &RolloutDecision) {
        if !self.is_for_order(decision.order_version) {
            return;
        }
        match decision.outcome {
            RolloutOutcome::Completed if !self.is_completed() => {
                self.is_completed_at_peer = true;
                log::info!(service:% = decision.service; "rollout is completed according to a peer");
            }
            RolloutOutcome::Bad if self.is_running() && !self.is_found_bad => {
                self.is_found_bad = true;
                log::warn!(service:% = decision.service; "a peer found the new version bad");
            }
            RolloutOutcome::Bad | RolloutOutcome::Completed => {}
        }
    }

    /// Records the number of requests so far. `now_ms` is the store's clock.
    pub(super) fn record_rate(&mut self, now_ms: u64) {
        if self.is_running() {
            let EvidenceTotals { old, new, .. } = self.evidence.all();
            self.trend.record(now_ms, old.answers + new.answers);
        }
    }

    /// The requests to be expected in the ordered time, if known. If some of the gateways have not reported
    /// theirs, they are assumed to have as many as the others.
    fn requests(&self, duration_ms: u64, gateways: usize) -> Option<f64> {
        let known = self.peers.hosts() + 1;
        let unknown_factor = gateways.max(known) as f64 / known as f64;
        Some(self.trend.expected(duration_ms)? * unknown_factor)
    }

    /// How close the evidence is to a decision.
    pub(super) fn status(&self, gateways: usize) -> EvidenceStatus {
        let duration_ms = self.known.order().map(RolloutOrder::duration_ms);
        self.evidence.status(duration_ms.and_then(|duration| self.requests(duration, gateways)))
    }

    fn judgement(&self, requests: Option<f64>) -> Judgement {
        if self.is_found_bad { Judgement::Worse } else { self.evidence.judgement(requests) }
    }

    /// The write that is due, if any. `now_ms` is the store's clock; `records_era` is the era in which
    /// the records were read last: if the order was read in a later era, the store's record is not known.
    /// `gateways` is the number of gateways in the fleet.
    pub(super) fn due(
        &self,
        config: &RolloutConfig,
        now_ms: u64,
        records_era: StoreEra,
        gateways: usize,
    ) -> Option<RolloutChange> {
        let order = self.known.order()?;
        let service = order.service.clone();
        if records_era < order.row_version.era {
            return None;
        }
        let expected = self.known.expected();
        let Some(stored) = self.current() else {
            let record = RolloutRecord {
                target: order.target.clone(),
                started_ms: now_ms,
                duration_ms: order.duration_ms(),
                phase: RolloutPhase::Canary,
                canary_share: None,
            };
            return Some(RolloutChange { service, expected, record });
        };
        if self.known.needs_rewrite() {
            return Some(RolloutChange { service, expected, record: stored.record.clone() });
        }
        if !self.is_running() {
            return None;
        }
        let requests = self.requests(stored.record.duration_ms, gateways);
        let received = self.evidence.all().new.answers;
        let share = requests
            .and_then(|requests| canary_share(config, &stored.record, now_ms, requests, received));
        let config = config.at_rate(self.trend.relative_rate());
        match next_step(&config, &stored.record, now_ms, self.judgement(requests)) {
            RolloutStep::Wait => share.map(|share| {
                let record = RolloutRecord { canary_share: Some(share), ..stored.record.clone() };
                RolloutChange { service, expected, record }
            }),
            RolloutStep::Enter(phase) => {
                let record = RolloutRecord { phase, ..stored.record.clone() };
                Some(RolloutChange { service, expected, record })
            }
        }
    }
}
