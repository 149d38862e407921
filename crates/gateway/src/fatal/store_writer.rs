//! The task that writes quarantined requests and prompt parts to the store.
//!
//! The store is needed for two things: gateways must agree on the number of trials, and a quarantine
//! must outlast a power failure of all gateways. A gateway reads the stored rows when it starts. Each
//! write requires the row version that was read, so only one of several concurrent writes of a change
//! succeeds.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_policy::fatal::FatalChange;
use tokio::sync::mpsc;

use super::tracker::Claim;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::peers::follows_store;
use crate::state::GatewayState;

/// How often the task checks for pending writes.
const CHECK_EVERY: Duration = Duration::from_millis(200);

/// How long after the quarantine a subject is stored: peer updates that explain its crashes have
/// arrived by then.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// The same for a gateway that does not follow the store: gateways that do learn of a write sooner.
const FALLBACK_STORE_DELAY: Duration = Duration::from_millis(2_000);

/// The pause after writes, until their results have arrived through the feed.
const FEED_LAG: Duration = Duration::from_millis(1_000);

/// Writes pending changes to the store. Never returns, unless the task already runs.
pub(crate) async fn store_fatal_requests<S: ControlStore>(state: Arc<GatewayState>, store: Arc<S>) {
    let Some(mut claims) = state.fatal.take_claims() else {
        return;
    };
    let mut pause = CHECK_EVERY;
    loop {
        answer_claims(store.as_ref(), &mut claims, pause).await;
        if !state.fatal.is_used() && !state.fatal.has_unexplained_broken_streams() {
            continue;
        }
        let settled = if follows_store(&state) { STORE_DELAY } else { FALLBACK_STORE_DELAY };
        let changes = state.fatal.change(|subjects| {
            subjects.expire(state.now());
            subjects.changes(state.now(), settled)
        });
        pause = if changes.is_empty() { CHECK_EVERY } else { FEED_LAG };
        for (subject, change) in changes {
            commit(store.as_ref(), subject, &change).await;
        }
    }
}

/// Commits trial claims for a while and answers them.
async fn answer_claims<S: ControlStore>(
    store: &S,
    claims: &mut mpsc::Receiver<Claim>,
    pause: Duration,
) {
    let answering = async {
        while let Some(claim) = claims.recv().await {
            let is_accepted = commit(store, claim.subject, &claim.change).await;
            // The caller may have gone in the meantime.
            let _ = claim.answer.send(is_accepted);
        }
    };
    let _ = tokio::time::timeout(pause, answering).await;
}

/// Commits a change and returns whether the store accepted it.
async fn commit<S: ControlStore>(store: &S, subject: CrashSubject, change: &FatalChange) -> bool {
    let committed = store.commit_fatal(subject, change).await;
    match &committed {
        Ok(()) => {
            log::info!(fingerprint:% = subject, record:? = change.record; "held-back request stored");
        }
        Err(ControlStoreError::Conflict) => {
            log::info!(fingerprint:% = subject; "held-back request not stored: another gateway stored it first");
        }
        Err(error) => {
            log::warn!(
                fingerprint:% = subject,
                error:% = error;
                "held-back request not stored; will be retried"
            );
        }
    }
    committed.is_ok()
}
