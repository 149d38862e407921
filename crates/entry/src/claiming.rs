//! Acquires and releases the claims of requests that must not be repeated.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_coordination::ClaimError;
use stallhoist_coordination::PendingClaim;

use crate::shared::Shared;

/// How long a response waits for the release of its claim, so that a caller that retries at once finds
/// the key free.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Acquires a claim within the timeout of the settings.
///
/// # Errors
/// Fails if another request holds the key, or if the store does not respond in time.
pub(crate) async fn claim(shared: &Shared, claim: &PendingClaim) -> Result<(), ClaimError> {
    let timeout = Duration::from_millis(shared.settings.claims.timeout_ms);
    let claimed = tokio::time::timeout(timeout, shared.claims.claim(claim.clone())).await;
    let claimed = claimed.unwrap_or(Err(ClaimError::Unavailable));
    if matches!(claimed, Err(ClaimError::Unavailable)) {
        // The claim may have been stored all the same.
        shared.unreleased.lock().push(claim.clone());
    }
    claimed
}

/// Releases the claim of a request that provably did not run. If that fails, it is retried in the
/// background.
pub(crate) async fn release(shared: &Arc<Shared>, claim: PendingClaim) {
    let release = shared.claims.release(&claim);
    let released = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
    if !matches!(released, Ok(Ok(()))) {
        shared.unreleased.lock().push(claim);
    }
}

/// Retries claims that could not be released. After the first failure, the rest is left to the next
/// call.
pub(crate) async fn retry_releases(shared: &Shared) {
    let left = std::mem::take(&mut *shared.unreleased.lock());
    let mut is_reachable = true;
    for claim in left {
        is_reachable = is_reachable && shared.claims.release(&claim).await.is_ok();
        if !is_reachable {
            shared.unreleased.lock().push(claim);
        }
    }
}
