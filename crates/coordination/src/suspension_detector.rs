//! Noticing that the host was suspended.

use std::time::Duration;

/// A gap of so long counts as a suspension. The two clocks are not read at the same moment, and a
/// process that waits for the processor in between sees a small one.
const SHORTEST: Duration = Duration::from_millis(300);

/// Notices that the host was suspended.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    known: Duration,
}

impl SuspensionDetector {
    /// The host has been suspended for so long in all. Gives the time of a suspension since the last call.
    pub fn observe(&mut self, suspended: Duration) -> Option<Duration> {
        let gap = suspended.saturating_sub(self.known);
        if gap < SHORTEST {
            return None;
        }
        self.known = suspended;
        Some(gap)
    }
}
