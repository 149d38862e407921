//! Which version of a service a request goes to.

use stallhoist_core::VersionName;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_policy::rollout::new_version_share;

use super::ControlRule;
use super::VersionFilter;
use super::VersionRule;
use super::service_rollout::ServiceRollout;
use crate::control_store::StoredRollout;

/// The number of a request that goes to the old version as long as there is one.
const LAST_TO_MOVE: f64 = 1.0;

impl ServiceRollout {
    /// The versions that a request may go to. `now_ms` is the store's clock.
    pub(super) fn rule(
        &self,
        config: &RolloutConfig,
        now_ms: u64,
        unit: f64,
        session_version: Option<&VersionName>,
    ) -> VersionRule {
        let Some(stored) = self.current() else {
            // The record of the order is not known: the new version is used only if there is no other,
            // as after a rollout that was completed before this process began.
            return match self.known.order() {
                Some(order) => VersionRule::prefer_except(&order.target),
                None => VersionRule::any(),
            };
        };
        let record = &stored.record;
        if record.phase == RolloutPhase::RolledBack {
            return VersionRule::except(&record.target);
        }
        // Takes precedence over a local finding: the old version is being stopped.
        if self.is_completed() {
            return VersionRule::prefer_only(&record.target);
        }
        if self.is_found_bad {
            return VersionRule::except(&record.target);
        }
        let share = self.share(config, record, now_ms);
        let is_new = match session_version {
            Some(version) if *version == record.target => true,
            // Until everything moves, a session stays on the old version.
            Some(_) if record.phase == RolloutPhase::Canary => false,
            _ => unit < share,
        };
        if is_new {
            VersionRule::prefer_then_except(&record.target)
        } else {
            let control = self.control(record, share, unit);
            VersionRule { control, ..VersionRule::except(&record.target) }
        }
    }

    /// The versions that a repeat may go to, of a request that belongs to no session of a version.
    pub(super) fn rule_of_repeat(&self, config: &RolloutConfig, now_ms: u64) -> VersionRule {
        let rule = self.rule(config, now_ms, LAST_TO_MOVE, None);
        let is_moving = |stored: &StoredRollout| {
            matches!(stored.record.phase, RolloutPhase::Shifting { .. }) && !self.is_found_bad
        };
        if self.current().is_some_and(is_moving) {
            // The old version may be gone before this gateway knows that the rollout is completed.
            return VersionRule { fallback: Some(VersionFilter::Any), ..rule };
        }
        rule
    }

    /// The new version's share of the requests. While it is observed, it gets no more than its allowance,
    /// also if requests become more frequent after the share was chosen.
    fn share(&self, config: &RolloutConfig, record: &RolloutRecord, now_ms: u64) -> f64 {
        let EvidenceTotals { old, new, .. } = self.evidence.all();
        let allowance = config.allowance((old.answers + new.answers) as f64);
        let share = new_version_share(config, record, now_ms);
        if record.phase == RolloutPhase::Canary && new.answers as f64 >= allowance {
            return share.min(config.canary_share);
        }
        share
    }

    /// The control rule, if there is no baseline that the new version's token intervals could be
    /// compared with.
    fn control(&self, record: &RolloutRecord, share: f64, unit: f64) -> Option<ControlRule> {
        let is_needed = record.phase == RolloutPhase::Canary && self.evidence.needs_control();
        let target = record.target.clone();
        is_needed.then_some(ControlRule { target, canary_share: share, place: unit - share })
    }
}
