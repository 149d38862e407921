//! The times at which a gateway has sent requests to one upstream.

use std::collections::VecDeque;
use std::time::Duration;

use stallhoist_core::MonoTime;

/// A sliding window of the times at which a gateway has sent requests to one upstream.
#[derive(Debug, Default)]
pub(crate) struct SentTimes(VecDeque<MonoTime>);

impl SentTimes {
    /// Records a sent request and drops those older than `window`.
    pub(crate) fn record_sent(&mut self, now: MonoTime, window: Duration) {
        while self.0.front().is_some_and(|first| now.since(*first) >= window) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// When the next request may be sent, if `share` requests are allowed per window; none if `share` is 0.
    pub(crate) fn next_at(&self, now: MonoTime, share: u32, window: Duration) -> Option<MonoTime> {
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        if share == 0 {
            return None;
        }
        let Some(earlier) = self.0.len().checked_sub(share) else {
            return Some(now);
        };
        self.0.get(earlier).map(|sent| sent.after(window).max(now))
    }
}
