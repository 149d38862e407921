//! The task that stores the next step of each rollout.
//!
//! Every gateway runs it. Each write requires the row version that was read, so one gateway's step
//! takes effect; the others learn of it from the feed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;

use super::watch::log_evidence_of;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::RolloutChange;
use crate::peers::follows_store;
use crate::state::GatewayState;

/// How often the task checks for due steps.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum delay between two writes for the same service, so that the feed can bring the result of
/// the first. Up to twice as long, at random, so that gateways don't all write at once.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a gateway that does not follow the store leaves a step to those that do, as they learn of
/// its result first. All gateways find a step due within the same tenth of a second; without this
/// delay, 15 to 24 of 103 gateways tried to write each step.
const FALLBACK_STEP_DELAY: Duration = Duration::from_millis(700);

/// Stores the next step of each rollout when it is due. Never returns.
pub(crate) async fn store_due_steps<S: ControlStore>(state: Arc<GatewayState>, store: Arc<S>) {
    let mut not_before: HashMap<ServiceName, MonoTime> = HashMap::new();
    let mut due_since: HashMap<ServiceName, MonoTime> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !state.has_rollouts() {
            continue;
        }
        let now = state.now();
        let gateways = state.peers.lock().count();
        let due = {
            let mut rollouts = state.rollouts.lock();
            rollouts.set_gateways(gateways);
            rollouts.due(now)
        };
        due_since.retain(|service, _| due.iter().any(|change| change.service == *service));
        if due.is_empty() {
            continue;
        }
        let min_age = if follows_store(&state) { Duration::ZERO } else { FALLBACK_STEP_DELAY };
        for change in due {
            let since = *due_since.entry(change.service.clone()).or_insert(now);
            let is_paused = not_before.get(&change.service).is_some_and(|at| now < *at);
            if is_paused || now.since(since) < min_age {
                continue;
            }
            let pause = RETRY_DELAY.mul_f64(rand::rng().random_range(1.0..2.0));
            not_before.insert(change.service.clone(), now.after(pause));
            log_evidence_of(&state, &change.service);
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
                "rollout step not stored: another gateway stored one first"
            );
        }
        Err(error) => {
            log::warn!(
                service:% = service,
                phase:? = phase,
                error:% = error;
                "rollout step not stored; will be retried"
            );
        }
    }
}
