//! What an entry knows of roll-outs, without input or output.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_policy::rollout::EvidenceStanding;
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

use super::Ending;
use super::ToldTime;
use super::Verdict;
use super::VersionFilter;
use super::VersionRule;
use crate::control_store::RolloutChange;
use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

#[derive(Debug, Default)]
struct ServiceRollout {
    order: Option<RolloutOrder>,
    stored: Option<StoredRollout>,
    evidence: RolloutEvidence,
    /// What other entries had counted when they last told.
    peers: HashMap<HostId, EvidenceTotals>,
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
    fn current(&self) -> Option<&StoredRollout> {
        let stored = self.stored.as_ref()?;
        let answers = |order: &RolloutOrder| {
            order.target == stored.record.target && order.row_version < stored.row_version
        };
        let is_answer = self.order.as_ref().is_none_or(answers);
        is_answer.then_some(stored)
    }
}

impl ServiceRollout {
    fn is_running(&self) -> bool {
        !self.is_completed() && self.current().is_some_and(|stored| !stored.record.is_settled())
    }

    fn is_completed(&self) -> bool {
        let is_completed = |stored: &StoredRollout| stored.record.phase == RolloutPhase::Completed;
        self.is_told_completed || self.current().is_some_and(is_completed)
    }

    /// A new order: what is known of the version in force is kept, also from before the order.
    /// The new version is compared with it at once, at whatever load it was seen.
    fn forget_new_version(&mut self) {
        let evidence = std::mem::take(&mut self.evidence);
        if !self.is_completed() || self.has_adopted_target {
            self.evidence = evidence.of_next_order();
        }
        self.has_adopted_target = false;
    }

    /// An attempt on an upstream of a version ended.
    fn observe(
        &mut self,
        version: &VersionName,
        kind: &RequestKind,
        load: u32,
        observation: Observation,
    ) {
        let is_target = self.order.as_ref().is_some_and(|order| order.target == *version);
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
}

/// What an entry knows of roll-outs.
#[derive(Debug, Default)]
pub struct Rollouts {
    config: RolloutConfig,
    services: BTreeMap<ServiceName, ServiceRollout>,
    /// The store's clock less this process's, as last seen, both in milliseconds.
    clock_offset_ms: Option<i64>,
}

impl Rollouts {
    /// Nothing is known yet.
    pub fn new(config: RolloutConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// The store told its clock.
    pub fn store_clock(&mut self, now: MonoTime, store_now_ms: u64) {
        self.clock_offset_ms = Some(store_now_ms.cast_signed() - local_ms(now));
    }

    /// An operator's order was read.
    pub fn ordered(&mut self, order: RolloutOrder) {
        let rollout = self.services.entry(order.service.clone()).or_default();
        let is_same = rollout.order.as_ref().is_some_and(|o| o.row_version == order.row_version);
        if !is_same {
            rollout.forget_new_version();
            rollout.peers.clear();
            rollout.is_found_bad = false;
            rollout.has_told_times = false;
            rollout.is_told_completed = false;
        }
        rollout.order = Some(order);
    }

    /// A record was read. Older ones than what is known change nothing.
    pub fn stored(&mut self, stored: StoredRollout) {
        let rollout = self.services.entry(stored.service.clone()).or_default();
        if rollout.stored.as_ref().is_none_or(|known| known.row_version < stored.row_version) {
            rollout.stored = Some(stored);
        }
    }

    /// Whether a roll-out is under way.
    pub fn is_active(&self) -> bool {
        self.services.values().any(|rollout| {
            rollout.order.is_some() && rollout.current().is_none_or(|s| !s.record.is_settled())
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
        let Some(stored) = rollout.current() else {
            // An order whose record is not known: the new version gets work only when it is
            // all there is, as after a roll-out that was completed before this process began.
            return match &rollout.order {
                Some(order) => VersionRule {
                    wanted: VersionFilter::Except(order.target.clone()),
                    otherwise: Some(VersionFilter::Any),
                },
                None => VersionRule::any(),
            };
        };
        let record = &stored.record;
        if record.phase == RolloutPhase::RolledBack {
            return except(&record.target);
        }
        // Goes before what this entry has found: the old version is being stopped.
        if rollout.is_completed() {
            return VersionRule {
                wanted: VersionFilter::Only(record.target.clone()),
                otherwise: Some(VersionFilter::Any),
            };
        }
        if rollout.is_found_bad {
            return except(&record.target);
        }
        let share = new_version_share(&self.config, record, self.store_now_ms(now));
        let is_new = match session_version {
            Some(version) if *version == record.target => true,
            // Until everything moves over, a session stays on the old version.
            Some(_) if record.phase == RolloutPhase::Canary => false,
            _ => unit < share,
        };
        in_progress(&record.target, is_new)
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
        rollout.observe(version, kind, load, observation);
        rollout.judge(service);
    }

    /// The time from which on an answer is slow, while a roll-out runs.
    pub fn slow_after(
        &self,
        service: &ServiceName,
        kind: &RequestKind,
        load: u32,
    ) -> Option<Duration> {
        let rollout = self.services.get(service).filter(|rollout| rollout.is_running())?;
        rollout.evidence.slow_after(kind, load)
    }

    /// What this entry has counted of the roll-outs that are under way: the service, the
    /// version of the order's row and the counts.
    pub fn own_evidence(&self) -> Vec<(ServiceName, StoreVersion, EvidenceTotals)> {
        let running = self.services.values().filter(|rollout| rollout.is_running());
        running
            .filter_map(|rollout| {
                let order = rollout.order.as_ref()?;
                Some((order.service.clone(), order.row_version, rollout.evidence.own()))
            })
            .collect()
    }

    /// How near the evidence of each roll-out under way is to a verdict, and how many other
    /// entries have told theirs.
    pub fn standings(&self) -> Vec<(ServiceName, EvidenceStanding, usize)> {
        let running = self.services.iter().filter(|(_, rollout)| rollout.is_running());
        let standing = |(service, rollout): (&ServiceName, &ServiceRollout)| {
            (service.clone(), rollout.evidence.standing(), rollout.peers.len())
        };
        running.map(standing).collect()
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
    pub fn peer_evidence(
        &mut self,
        host: HostId,
        service: &ServiceName,
        order_version: StoreVersion,
        totals: EvidenceTotals,
    ) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        if rollout.order.as_ref().is_none_or(|order| order.row_version != order_version) {
            return;
        }
        let earlier = rollout.peers.insert(host, totals).unwrap_or_default();
        rollout.evidence.counted_elsewhere(totals.since(earlier));
        rollout.judge(service);
    }

    /// Whether the old version's usual times are to be asked of another entry: one that starts
    /// during a roll-out, in a burst perhaps, has not seen an upstream that is as idle as the
    /// new version's.
    pub fn wants_times(&self) -> bool {
        self.services.values().any(|rollout| rollout.is_running() && !rollout.has_told_times)
    }

    /// The old versions' usual times, as far as roll-outs are under way.
    pub fn known_times(&self) -> Vec<ToldTime> {
        let running = self.services.values().filter(|rollout| rollout.is_running());
        let times = running.filter_map(|rollout| {
            let order = rollout.order.as_ref()?;
            let times = rollout.evidence.known_times().map(|(kind, known)| ToldTime {
                service: order.service.clone(),
                order_version: order.row_version,
                kind: kind.clone(),
                known,
            });
            Some(times)
        });
        times.flatten().collect()
    }

    /// Another entry tells a usual time.
    pub fn told_time(&mut self, time: ToldTime) {
        let Some(rollout) = self.services.get_mut(&time.service) else {
            return;
        };
        if rollout.order.as_ref().is_some_and(|order| order.row_version == time.order_version) {
            rollout.has_told_times = true;
            rollout.evidence.told_time(time.kind, time.known);
        }
    }

    /// What this entry knows of the ends of roll-outs: versions found bad, by its own evidence
    /// or by others, that are not recorded yet, and orders that are completed.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let verdict = |rollout: &ServiceRollout| {
            let order = rollout.order.as_ref()?;
            let ending = if rollout.is_completed() {
                Ending::Completed
            } else if rollout.is_found_bad && rollout.is_running() {
                Ending::Bad
            } else {
                return None;
            };
            let (service, order_version) = (order.service.clone(), order.row_version);
            Some(Verdict { service, order_version, ending })
        };
        self.services.values().filter_map(verdict).collect()
    }

    /// Another entry knows how a roll-out ends. A bad version is bad here too: an entry that
    /// started after the evidence was seen would complete the roll-out. That it is completed
    /// counts for an entry that does not reach the store: it would go on sending requests to
    /// the old version, which is gone.
    pub fn told(&mut self, verdict: &Verdict) {
        let Some(rollout) = self.services.get_mut(&verdict.service) else {
            return;
        };
        let order_version = rollout.order.as_ref().map(|order| order.row_version);
        if order_version != Some(verdict.order_version) {
            return;
        }
        match verdict.ending {
            Ending::Completed if !rollout.is_completed() => {
                rollout.is_told_completed = true;
                log::info!(service:% = verdict.service; "another entry has read that it is completed");
            }
            Ending::Bad if rollout.is_running() && !rollout.is_found_bad => {
                rollout.is_found_bad = true;
                log::warn!(service:% = verdict.service; "another entry has found the new version bad");
            }
            Ending::Bad | Ending::Completed => {}
        }
    }

    /// The changes to be stored now.
    pub fn due(&self, now: MonoTime) -> Vec<RolloutChange> {
        if self.clock_offset_ms.is_none() {
            return Vec::new();
        }
        let now_ms = self.store_now_ms(now);
        self.services.values().filter_map(|rollout| self.due_of(rollout, now_ms)).collect()
    }

    fn due_of(&self, rollout: &ServiceRollout, now_ms: u64) -> Option<RolloutChange> {
        let order = rollout.order.as_ref()?;
        let service = order.service.clone();
        let expected = rollout.stored.as_ref().map(|stored| stored.row_version);
        let Some(stored) = rollout.current() else {
            let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
            let record = RolloutRecord {
                target: order.target.clone(),
                started_ms: now_ms,
                duration_ms,
                phase: RolloutPhase::Canary,
            };
            return Some(RolloutChange { service, expected, record });
        };
        if rollout.is_completed() {
            return None;
        }
        match next_step(&self.config, &stored.record, now_ms, rollout.is_found_bad) {
            RolloutStep::Wait => None,
            RolloutStep::Enter(phase) => {
                let record = RolloutRecord { phase, ..stored.record.clone() };
                Some(RolloutChange { service, expected, record })
            }
        }
    }

    fn store_now_ms(&self, now: MonoTime) -> u64 {
        (local_ms(now) + self.clock_offset_ms.unwrap_or(0)).max(0).cast_unsigned()
    }

    /// The state of each roll-out, for the state dump: service, target and phase.
    pub fn summary(&self) -> Vec<(ServiceName, RolloutRecord, StoreVersion)> {
        let stored = self.services.values().filter_map(|rollout| rollout.stored.clone());
        stored.map(|stored| (stored.service, stored.record, stored.row_version)).collect()
    }
}

fn local_ms(now: MonoTime) -> i64 {
    let elapsed: Duration = now.since(MonoTime::default());
    i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
}

fn except(target: &VersionName) -> VersionRule {
    let wanted = VersionFilter::Except(target.clone());
    VersionRule { wanted, otherwise: None }
}

fn in_progress(target: &VersionName, is_new: bool) -> VersionRule {
    let others = VersionFilter::Except(target.clone());
    if !is_new {
        return except(target);
    }
    let wanted = VersionFilter::Only(target.clone());
    VersionRule { wanted, otherwise: Some(others) }
}
