//! Rollouts after the store was restored from a copy.

use std::collections::BTreeSet;
use std::time::Duration;

use stallhoist_core::StoreVersion;
use stallhoist_gateway::control_store::RolloutOrder;
use stallhoist_gateway::control_store::StoredRollout;
use stallhoist_gateway::rollouts::Rollouts;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;

use super::at_ms;
use super::later;
use super::rollout_rules::new;
use super::rollout_rules::old;
use super::rollout_rules::order;
use super::rollout_rules::rollouts;
use super::rollout_rules::rule;
use super::rollout_rules::stored;

/// The record of the order, as the restored store has it.
fn restored(phase: RolloutPhase, number: u64) -> StoredRollout {
    StoredRollout { row_version: later(number), ..stored(phase, 0) }
}

/// The due step: the phase to store, and the row version to replace.
fn due(rollouts: &mut Rollouts) -> Option<(RolloutPhase, Option<StoreVersion>)> {
    let due = rollouts.due(at_ms(13_000));
    due.first().map(|change| (change.record.phase, change.expected))
}

#[test]
fn a_record_that_the_store_has_lost_is_stored_again() {
    let mut rollouts = rollouts(RolloutPhase::RolledBack);
    rollouts.retain_recorded(later(5), &BTreeSet::new());
    assert_eq!(due(&mut rollouts), Some((RolloutPhase::RolledBack, None)));
    assert_eq!(rule(&rollouts, 0.01, None).wanted, old());
    rollouts.stored(restored(RolloutPhase::RolledBack, 6));
    assert_eq!(due(&mut rollouts), None);
}

#[test]
fn a_record_that_was_reset_is_stored_again() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    rollouts.stored(restored(RolloutPhase::Canary, 11));
    assert_eq!(due(&mut rollouts), Some((RolloutPhase::Completed, Some(later(11)))));
    assert_eq!(rule(&rollouts, 0.99, Some("v1")).wanted, new());
}

// The other rollout was begun by a gateway that started in the meantime.
#[test]
fn a_finished_rollout_takes_precedence_over_a_restarted_one() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    let mut anew = restored(RolloutPhase::Canary, 20);
    anew.record.started_ms = 9_000;
    rollouts.stored(anew);
    assert_eq!(due(&mut rollouts), Some((RolloutPhase::Completed, Some(later(20)))));
}

#[test]
fn an_order_that_is_read_again_is_not_restarted() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    rollouts.apply_order(RolloutOrder { row_version: later(30), ..order(0) });
    rollouts.stored(restored(RolloutPhase::Completed, 11));
    // A starting gateway would take the order for a new one, as it is later than the record.
    assert_eq!(due(&mut rollouts), Some((RolloutPhase::Completed, Some(later(11)))));
    rollouts.stored(restored(RolloutPhase::Completed, 31));
    assert_eq!(due(&mut rollouts), None);
    assert_eq!(rule(&rollouts, 0.99, Some("v1")).wanted, new());
}

// The record belongs to an earlier order of the same version.
#[test]
fn an_order_without_a_record_has_none_when_all_is_read_again() {
    for is_order_first in [true, false] {
        let mut rollouts = Rollouts::new(RolloutConfig::default());
        rollouts.set_store_clock(at_ms(0), 0);
        rollouts.stored(stored(RolloutPhase::RolledBack, 5));
        rollouts.apply_order(order(10));
        let again = RolloutOrder { row_version: later(30), ..order(0) };
        if is_order_first {
            rollouts.apply_order(again.clone());
        }
        rollouts.stored(restored(RolloutPhase::RolledBack, 5));
        rollouts.apply_order(again);
        assert_eq!(due(&mut rollouts), Some((RolloutPhase::Canary, Some(later(5)))));
    }
}

#[test]
fn another_order_after_the_restore_is_started() {
    let mut rollouts = rollouts(RolloutPhase::Completed);
    rollouts.stored(restored(RolloutPhase::Completed, 11));
    let other = RolloutOrder { duration: Duration::from_secs(30), ..order(0) };
    rollouts.apply_order(RolloutOrder { row_version: later(9), ..other });
    assert_eq!(due(&mut rollouts), Some((RolloutPhase::Canary, Some(later(11)))));
}
