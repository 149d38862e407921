//! Claims of requests that must not be repeated, and their release.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_coordination::ClaimError;
use stallhoist_coordination::PendingClaim;

use crate::shared::Shared;

/// How long an answer waits for the release of its claim, so that a caller who comes
/// back at once finds the key free.
const RELEASE_PATIENCE: Duration = Duration::from_millis(250);

/// Makes a claim within the settings' patience.
pub(crate) async fn claim(shared: &Shared, claim: &PendingClaim) -> Result<(), ClaimError> {
    let patience = Duration::from_millis(shared.settings.claims.timeout_ms);
    let claimed = tokio::time::timeout(patience, shared.claims.claim(claim.clone())).await;
    let claimed = claimed.unwrap_or(Err(ClaimError::Unavailable));
    if matches!(claimed, Err(ClaimError::Unavailable)) {
        // It may stand in the store all the same.
        shared.unreleased.lock().push(claim.clone());
    }
    claimed
}

/// Releases the claim of a request that provably did not run.
pub(crate) async fn release(shared: &Arc<Shared>, claim: PendingClaim) {
    let release = shared.claims.release(&claim);
    let released = tokio::time::timeout(RELEASE_PATIENCE, release).await;
    if !matches!(released, Ok(Ok(()))) {
        shared.unreleased.lock().push(claim);
    }
}

/// Tries again what could not be released; the rest waits for the next call.
pub(crate) async fn release_left(shared: &Shared) {
    let left = std::mem::take(&mut *shared.unreleased.lock());
    let mut is_reachable = true;
    for claim in left {
        is_reachable = is_reachable && shared.claims.release(&claim).await.is_ok();
        if !is_reachable {
            shared.unreleased.lock().push(claim);
        }
    }
}
