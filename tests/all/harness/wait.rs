//! Waiting on conditions.

use std::time::Duration;
use std::time::Instant;

const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Waits until a condition holds; fails the test, naming it, when it does not in time.
pub(crate) async fn wait_until<F, T>(what: &str, mut condition: F)
where
    F: FnMut() -> T,
    T: Future<Output = bool>,
{
    let began = Instant::now();
    let mut looks = tokio::time::interval(LOOK_EVERY);
    while !condition().await {
        assert!(began.elapsed() < PATIENCE, "timed out waiting until {what}");
        looks.tick().await;
    }
}
