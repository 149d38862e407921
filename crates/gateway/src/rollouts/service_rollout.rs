//! What an entry knows of the roll-out of one service.

use std::collections::HashMap;

use stallhoist_core::HostId;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutEvidence;
use stallhoist_policy::rollout::RolloutPhase;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_policy::rollout::RolloutStep;
use stallhoist_policy::rollout::new_version_share;
use stallhoist_policy::rollout::next_step;

use super::BaselineUpdate;
use super::ControlRule;
use super::RolloutDecision;
use super::RolloutOutcome;
use super::VersionRule;
use super::order_and_record::OrderAndRecord;
use crate::control_store::RolloutChange;
use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// What an entry knows of the roll-out of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) known: OrderAndRecord,
    pub(super) evidence: RolloutEvidence,
    /// What other entries had counted when they last told.
    pub(super) peers: HashMap<HostId, EvidenceTotals>,
    /// This entry has seen enough of the target of the record to call it bad.
    is_found_bad: bool,
    /// Another entry has told the old version's usual times.
    has_told_times: bool,
    /// Another entry has read that the order is completed.
    is_told_completed: bool,
    /// The evidence is of the target, which has become the version in force.
    has_adopted_target: bool,
}

impl ServiceRollout {
    /// The record, if it answers the newest order.
    pub(super) fn current(&self) -> Option<&StoredRollout> {
        self.known.current()
    }

    pub(super) fn is_running(&self) -> bool {
        !self.is_completed() && self.current().is_some_and(|stored| !stored.record.is_settled())
    }

    fn is_completed(&self) -> bool {
        let is_completed = |stored: &StoredRollout| stored.record.phase == RolloutPhase::Completed;
        self.is_told_completed || self.current().is_some_and(is_completed)
    }

    /// A new order: what is known of the version in force is kept, also from before the order.
    /// The new version is compared with it at once, at whatever load it was seen.
    fn forget_new_version(&mut self, was_completed: bool) {
        let evidence = std::mem::take(&mut self.evidence);
        if !was_completed || self.has_adopted_target {
            self.evidence = evidence.for_next_order();
        }
        self.has_adopted_target = false;
    }

    /// An attempt on an upstream of a version ended.
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
        self.judge(service);
    }

    /// The new version has become the one in force: the next one is compared with its times.
    fn adopt_target(&mut self) {
        if !self.has_adopted_target {
            self.has_adopted_target = true;
            self.evidence = RolloutEvidence::default();
        }
    }

    /// Calls the new version bad if the evidence says so.
    fn judge(&mut self, service: &ServiceName) {
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

    /// An operator's order was read. After the store has come back from a copy, the one that is known may
    /// be read again, from another row.
    pub(super) fn apply_order(&mut self, order: RolloutOrder) {
        let is_completed = self.is_completed();
        if self.known.order_is(order) {
            self.forget_new_version(is_completed);
            self.peers.clear();
            self.is_found_bad = false;
            self.has_told_times = false;
            self.is_told_completed = false;
        }
    }

    /// A record was read. Older ones than what is known change nothing.
    pub(super) fn stored(&mut self, stored: StoredRollout) {
        self.known.record_is(stored);
    }

    /// All records were read at a version, and this one is not there.
    pub(super) fn not_recorded(&mut self, version: StoreVersion) {
        self.known.no_record_is_there(version);
    }

    /// Whether another entry tells of the same order. It tells the number alone: the same order has another
    /// one once it is written again.
    fn is_of_order(&self, told: StoreVersion) -> bool {
        self.known.order_version().is_some_and(|own| own.number == told.number)
    }

    /// Which versions a request goes to. `now_ms` is the store's clock.
    pub(super) fn rule(
        &self,
        config: &RolloutConfig,
        now_ms: u64,
        unit: f64,
        session_version: Option<&VersionName>,
    ) -> VersionRule {
        let Some(stored) = self.current() else {
            // An order whose record is not known: the new version gets work only when it is
            // all there is, as after a roll-out that was completed before this process began.
            return match self.known.order() {
                Some(order) => VersionRule::first_except(&order.target),
                None => VersionRule::any(),
            };
        };
        let record = &stored.record;
        if record.phase == RolloutPhase::RolledBack {
            return VersionRule::except(&record.target);
        }
        // Goes before what this entry has found: the old version is being stopped.
        if self.is_completed() {
            return VersionRule::first_only(&record.target);
        }
        if self.is_found_bad {
            return VersionRule::except(&record.target);
        }
        let share = new_version_share(config, record, now_ms);
        let is_new = match session_version {
            Some(version) if *version == record.target => true,
            // Until everything moves over, a session stays on the old version.
            Some(_) if record.phase == RolloutPhase::Canary => false,
            _ => unit < share,
        };
        if is_new {
            VersionRule::only_or_except(&record.target)
        } else {
            let control = self.control(record, share, unit);
            VersionRule { control, ..VersionRule::except(&record.target) }
        }
    }

    /// Whether one upstream of the old version rests, as nothing is known yet that the new one's
    /// times could be compared with.
    fn control(&self, record: &RolloutRecord, share: f64, unit: f64) -> Option<ControlRule> {
        let is_needed = record.phase == RolloutPhase::Canary && self.evidence.needs_control();
        let target = record.target.clone();
        is_needed.then_some(ControlRule { target, canary_share: share, place: unit - share })
    }

    /// Another entry tells what it has counted in all so far, since an order.
    pub(super) fn apply_peer_evidence(
        &mut self,
        host: HostId,
        service: &ServiceName,
        order_version: StoreVersion,
        totals: EvidenceTotals,
    ) {
        if !self.is_of_order(order_version) {
            return;
        }
        let earlier = self.peers.insert(host, totals).unwrap_or_default();
        self.evidence.add_peer_counts(totals.since(earlier));
        self.judge(service);
    }

    /// Whether the old version's usual times are to be asked of another entry.
    pub(super) fn needs_baselines(&self) -> bool {
        self.is_running() && !self.has_told_times
    }

    /// The old version's usual times, while a roll-out is under way.
    pub(super) fn baseline_updates(&self) -> Vec<BaselineUpdate> {
        let Some(order) = self.known.order().filter(|_| self.is_running()) else {
            return Vec::new();
        };
        let told = |(kind, known): (&RequestKind, BaselineLatency)| BaselineUpdate {
            service: order.service.clone(),
            order_version: order.row_version,
            kind: kind.clone(),
            known,
        };
        self.evidence.baseline_updates().map(told).collect()
    }

    /// Another entry tells a usual time.
    pub(super) fn apply_baseline_update(&mut self, time: BaselineUpdate) {
        if self.is_of_order(time.order_version) {
            self.has_told_times = true;
            self.evidence.apply_baseline_update(time.kind, time.known);
        }
    }

    /// What is known of the end of the roll-out.
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

    /// Another entry knows how the roll-out ends.
    pub(super) fn apply_peer_update(&mut self, decision: &RolloutDecision) {
        if !self.is_of_order(decision.order_version) {
            return;
        }
        match decision.outcome {
            RolloutOutcome::Completed if !self.is_completed() => {
                self.is_told_completed = true;
                log::info!(service:% = decision.service; "another entry has read that it is completed");
            }
            RolloutOutcome::Bad if self.is_running() && !self.is_found_bad => {
                self.is_found_bad = true;
                log::warn!(service:% = decision.service; "another entry has found the new version bad");
            }
            RolloutOutcome::Bad | RolloutOutcome::Completed => {}
        }
    }

    /// The change to be stored now. `now_ms` is the store's clock; the records were read last in an era:
    /// where the order is known from a later one, it is not known what the store has.
    pub(super) fn due(
        &self,
        config: &RolloutConfig,
        now_ms: u64,
        records_era: StoreEra,
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
            };
            return Some(RolloutChange { service, expected, record });
        };
        if self.known.is_to_be_stored_again() {
            return Some(RolloutChange { service, expected, record: stored.record.clone() });
        }
        if self.is_completed() {
            return None;
        }
        match next_step(config, &stored.record, now_ms, self.is_found_bad) {
            RolloutStep::Wait => None,
            RolloutStep::Enter(phase) => {
                let record = RolloutRecord { phase, ..stored.record.clone() };
                Some(RolloutChange { service, expected, record })
            }
        }
    }
}
