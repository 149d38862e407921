//! Rate limit of log lines that others can cause at any rate.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// Minimum time between two lines of a kind: short enough to see that the cause persists.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Rate limiter of one kind of line, which counts those it drops.
#[derive(Debug, Default)]
pub struct LogLimit {
    next: Option<MonoTime>,
    left_out: u64,
}

impl LogLimit {
    /// Returns the number of lines dropped since the last one if a line may be written now.
    pub fn pass(&mut self, now: MonoTime) -> Option<u64> {
        if self.next.is_some_and(|next| now < next) {
            self.left_out += 1;
            return None;
        }
        self.next = Some(now.after(MIN_INTERVAL));
        Some(std::mem::take(&mut self.left_out))
    }
}
