//! What an entry knows of roll-outs, without input or output.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use stallhoist_core::HostId;
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

use super::BaselineUpdate;
use super::RolloutDecision;
use super::VersionRule;
use super::service_rollout::ServiceRollout;
use crate::control_store::RolloutChange;
use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// What an entry knows of roll-outs.
#[derive(Debug, Default)]
pub struct Rollouts {
    config: RolloutConfig,
    services: BTreeMap<ServiceName, ServiceRollout>,
    /// The era of the store in which the records were read last.
    records_era: StoreEra,
    /// The store's clock less this process's, as last seen, both in milliseconds.
    clock_offset_ms: Option<i64>,
}

impl Rollouts {
    /// Nothing is known yet.
    pub fn new(config: RolloutConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// The store told its clock.
    pub fn set_store_clock(&mut self, now: MonoTime, store_now_ms: u64) {
        self.clock_offset_ms = Some(store_now_ms.cast_signed() - local_ms(now));
    }

    /// An operator's order was read.
    pub fn apply_order(&mut self, order: RolloutOrder) {
        self.services.entry(order.service.clone()).or_default().apply_order(order);
    }

    /// A record was read. Older ones than what is known change nothing.
    pub fn stored(&mut self, stored: StoredRollout) {
        self.records_era = self.records_era.max(stored.row_version.era);
        self.services.entry(stored.service.clone()).or_default().stored(stored);
    }

    /// The store was read whole at a version, and has records of these services only.
    pub fn retain_recorded(&mut self, version: StoreVersion, recorded: &BTreeSet<ServiceName>) {
        self.records_era = self.records_era.max(version.era);
        let others = self.services.iter_mut().filter(|(service, _)| !recorded.contains(service));
        others.for_each(|(_, rollout)| rollout.not_recorded(version));
    }

    /// Whether an order for a service is known.
    pub fn has_order(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|rollout| rollout.known.order().is_some())
    }

    /// Whether a roll-out is under way.
    pub fn is_active(&self) -> bool {
        self.services.values().any(|rollout| {
            rollout.known.order().is_some()
                && rollout.current().is_none_or(|s| !s.record.is_settled())
        })
    }

    /// Which versions a request goes to. `unit` is a number from 0 to 1 that stays with
    /// the session or the request; `session_version` is what answered the session before.
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

    /// An attempt on a service's upstream ended.
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

    /// The time from which on an answer is slow, while a roll-out runs.
    pub fn slow_threshold(
        &self,
        service: &ServiceName,
        kind: &RequestKind,
        load: u32,
    ) -> Option<Duration> {
        let rollout = self.services.get(service).filter(|rollout| rollout.is_running())?;
        rollout.evidence.slow_threshold(kind, load)
    }

    /// What this entry has counted of the roll-outs that are under way: the service, the
    /// version of the order's row and the counts.
    pub fn local_evidence(&self) -> Vec<(ServiceName, StoreVersion, EvidenceTotals)> {
        let running = self.services.values().filter(|rollout| rollout.is_running());
        running
            .filter_map(|rollout| {
                let order = rollout.known.order()?;
                Some((order.service.clone(), order.row_version, rollout.evidence.own()))
            })
            .collect()
    }

    /// How near the evidence of each roll-out under way is to a verdict, and how many other
    /// entries have told theirs.
    pub fn statuses(&self) -> Vec<(ServiceName, EvidenceStatus, usize)> {
        let running = self.services.iter().filter(|(_, rollout)| rollout.is_running());
        let status = |(service, rollout): (&ServiceName, &ServiceRollout)| {
            (service.clone(), rollout.evidence.status(), rollout.peers.len())
        };
        running.map(status).collect()
    }

    /// The services of which a part of the sessions is sent to a new version: the service,
    /// the new version and the part.
    pub fn canaries(&self) -> Vec<(ServiceName, VersionName, f64)> {
        let current = self.services.values().filter_map(ServiceRollout::current);
        let canaries = current.filter(|stored| stored.record.phase == RolloutPhase::Canary);
        let canary = |stored: &StoredRollout| {
            (stored.service.clone(), stored.record.target.clone(), self.config.canary_share)
        };
        canaries.map(canary).collect()
    }

    /// Another entry tells what it has counted in all so far, since an order.
    pub fn apply_peer_evidence(
        &mut self,
        host: HostId,
        service: &ServiceName,
        order_version: StoreVersion,
        totals: EvidenceTotals,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.apply_peer_evidence(host, service, order_version, totals);
        }
    }

    /// Whether the old version's usual times are to be asked of another entry: one that starts
    /// during a roll-out, in a burst perhaps, has not seen an upstream that is as idle as the
    /// new version's.
    pub fn needs_baselines(&self) -> bool {
        self.services.values().any(ServiceRollout::needs_baselines)
    }

    /// The old versions' usual times, as far as roll-outs are under way.
    pub fn baseline_updates(&self) -> Vec<BaselineUpdate> {
        self.services.values().flat_map(ServiceRollout::baseline_updates).collect()
    }

    /// Another entry tells a usual time.
    pub fn apply_baseline_update(&mut self, time: BaselineUpdate) {
        if let Some(rollout) = self.services.get_mut(&time.service) {
            rollout.apply_baseline_update(time);
        }
    }

    /// What this entry knows of the ends of roll-outs: versions found bad, by its own evidence
    /// or by others, that are not recorded yet, and orders that are completed.
    pub fn decisions(&self) -> Vec<RolloutDecision> {
        self.services.values().filter_map(ServiceRollout::decision).collect()
    }

    /// Another entry knows how a roll-out ends. A bad version is bad here too: an entry that
    /// started after the evidence was seen would complete the roll-out. That it is completed
    /// counts for an entry that does not reach the store: it would go on sending requests to
    /// the old version, which is gone.
    pub fn apply_peer_update(&mut self, decision: &RolloutDecision) {
        if let Some(rollout) = self.services.get_mut(&decision.service) {
            rollout.apply_peer_update(decision);
        }
    }

    /// The changes to be stored now.
    pub fn due(&self, now: MonoTime) -> Vec<RolloutChange> {
        if self.clock_offset_ms.is_none() {
            return Vec::new();
        }
        let now_ms = self.store_now_ms(now);
        let due = |rollout: &ServiceRollout| rollout.due(&self.config, now_ms, self.records_era);
        self.services.values().filter_map(due).collect()
    }

    fn store_now_ms(&self, now: MonoTime) -> u64 {
        (local_ms(now) + self.clock_offset_ms.unwrap_or(0)).max(0).cast_unsigned()
    }

    /// The state of each roll-out, for the state dump: service, target and phase.
    pub fn summary(&self) -> Vec<(ServiceName, RolloutRecord, StoreVersion)> {
        let stored = self.services.values().filter_map(|rollout| rollout.known.stored().cloned());
        stored.map(|stored| (stored.service, stored.record, stored.row_version)).collect()
    }
}

fn local_ms(now: MonoTime) -> i64 {
    let elapsed: Duration = now.since(MonoTime::default());
    i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
}
