//! The task that stores the next step of each roll-out.
//!
//! Every entry runs it. The condition on the record decides whose step counts; the others
//! learn of it from the feed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;

use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::RolloutChange;
use crate::peers::follows_store;
use crate::state::GatewayState;

/// How often it is checked whether a step is due.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// After a step was tried, the next try for the same service waits this long at least,
/// so that the feed can bring what came of it, and up to twice as long at random, so that
/// entries do not all try at once.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long an entry that does not follow the store leaves a step to those that do: they see what
/// came of it first. All entries find a step due in the same tenth of a second, and 15 to 24 of 103
/// tried each.
const LEFT_TO_OTHERS: Duration = Duration::from_millis(700);

/// Stores the next step of each roll-out when it is due, for ever.
pub(crate) async fn store_due_steps<S: ControlStore>(state: Arc<GatewayState>, store: Arc<S>) {
    let mut not_before: HashMap<ServiceName, MonoTime> = HashMap::new();
    let mut due_since: HashMap<ServiceName, MonoTime> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        if !state.has_rollouts() {
            continue;
        }
        let now = state.now();
        let due = state.rollouts.lock().due(now);
        due_since.retain(|service, _| due.iter().any(|change| change.service == *service));
        if due.is_empty() {
            continue;
        }
        let patience = if follows_store(&state) { Duration::ZERO } else { LEFT_TO_OTHERS };
        for change in due {
            let since = *due_since.entry(change.service.clone()).or_insert(now);
            let is_paused = not_before.get(&change.service).is_some_and(|at| now < *at);
            if is_paused || now.since(since) < patience {
                continue;
            }
            let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0));
            not_before.insert(change.service.clone(), now.after(pause));
            commit(store.as_ref(), &change).await;
        }
    }
}

async fn commit<S: ControlStore>(store: &S, change: &RolloutChange) {
    let service = &change.service;
    let phase = change.record.phase;
    match store.commit_rollout(change).await {
        Ok(()) => {
            log::info!(
                service:% = service,
                target:% = change.record.target,
                phase:? = phase;
                "roll-out step stored"
            );
        }
        Err(ControlStoreError::Conflict) => {
            log::info!(
                service:% = service,
                phase:? = phase;
                "another entry stored a roll-out step first"
            );
        }
        Err(error) => {
            log::warn!(
                service:% = service,
                phase:? = phase,
                error:% = error;
                "roll-out step not stored, to be tried again"
            );
        }
    }
}
