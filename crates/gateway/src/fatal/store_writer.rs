//! The task that writes to the store which requests are held back.
//!
//! What must be agreed is how often one is tried again, and what must last is that it is held back:
//! an entry that starts reads it, also after all have lost power. Each write names the version of
//! the row that was read, so of several entries that write the same one does.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::RequestFingerprint;
use stallhoist_policy::fatal::FatalChange;
use tokio::sync::mpsc;

use super::tracker::Claim;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::peers::follows_store;
use crate::state::GatewayState;

/// How often it is checked whether something is to be written.
const CHECK_EVERY: Duration = Duration::from_millis(200);

/// How long a request has been held back before the store is told: other entries' news that explain
/// its ends are here by then.
const SETTLED_AFTER: Duration = Duration::from_millis(500);

/// The same for an entry that does not follow the store: those that do see first what was written.
const LEFT_TO_OTHERS: Duration = Duration::from_millis(2_000);

/// After writes, what came of them is waited for.
const FEED_LAG: Duration = Duration::from_millis(1_000);

/// Writes to the store what it should have, for ever.
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
        let settled = if follows_store(&state) { SETTLED_AFTER } else { LEFT_TO_OTHERS };
        let changes = state.fatal.change(|requests| {
            requests.expire(state.now());
            requests.changes(state.now(), settled)
        });
        pause = if changes.is_empty() { CHECK_EVERY } else { FEED_LAG };
        for (request, change) in changes {
            commit(store.as_ref(), request, &change).await;
        }
    }
}

/// Answers questions whether requests may be tried again, for a while.
async fn answer_claims<S: ControlStore>(
    store: &S,
    claims: &mut mpsc::Receiver<Claim>,
    pause: Duration,
) {
    let answering = async {
        while let Some(claim) = claims.recv().await {
            let is_agreed = commit(store, claim.request, &claim.change).await;
            // The caller may have left meanwhile.
            let _ = claim.answer.send(is_agreed);
        }
    };
    let _ = tokio::time::timeout(pause, answering).await;
}

/// Says whether the store has taken a change.
async fn commit<S: ControlStore>(
    store: &S,
    request: RequestFingerprint,
    change: &FatalChange,
) -> bool {
    let committed = store.commit_fatal(request, change).await;
    match &committed {
        Ok(()) => {
            log::info!(fingerprint:% = request, record:? = change.record; "held-back request stored");
        }
        Err(ControlStoreError::Conflict) => {
            log::info!(fingerprint:% = request; "another entry stored it first");
        }
        Err(error) => {
            log::warn!(
                fingerprint:% = request,
                error:% = error;
                "held-back request not stored, to be tried again"
            );
        }
    }
    committed.is_ok()
}
