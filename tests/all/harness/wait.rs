//! Polls a condition until it holds.

use std::time::Duration;
use std::time::Instant;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls a condition until it holds. Panics with `what` when it does not hold before the timeout.
pub(crate) async fn wait_until<F, T>(what: &str, mut condition: F)
where
    F: FnMut() -> T,
    T: Future<Output = bool>,
{
    let started_at = Instant::now();
    let mut polls = tokio::time::interval(POLL_INTERVAL);
    while !condition().await {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        polls.tick().await;
    }
}
