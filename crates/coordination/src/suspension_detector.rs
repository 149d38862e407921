//! Detection of host suspensions.

use std::time::Duration;

/// The shortest difference that counts as a suspension. The two clocks are not read at the same
/// moment, so a process that waits for the CPU in between sees a small difference.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Detects suspensions from readings of [`ProcessClock::suspended`](crate::ProcessClock::suspended).
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    reported_total: Duration,
}

impl SuspensionDetector {
    /// Records the total time of suspensions. Returns the duration of a suspension since the last
    /// call, if there was one.
    pub fn observe(&mut self, suspended: Duration) -> Option<Duration> {
        let suspension = suspended.saturating_sub(self.reported_total);
        if suspension < MIN_SUSPENSION {
            return None;
        }
        self.reported_total = suspended;
        Some(suspension)
    }
}
