//! What an entry that has been told to stop still takes.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// How long new streams are taken after the stop was asked for: by then the platform has
/// stopped sending callers here, unless it has nowhere else to send them.
const TAKES_STREAMS_FOR: Duration = Duration::from_millis(2_800);

/// The process ends so long before it would be killed.
const END_RESERVE: Duration = Duration::from_millis(200);

/// A plain call is taken only if so much time is left for it.
const CALL_TIME: Duration = Duration::from_millis(1_500);

/// When a process that was told to stop does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    asked: MonoTime,
    grace: Duration,
}

impl PlannedStop {
    /// A stop that was asked for at `asked`; after `grace` the process is killed.
    pub fn new(asked: MonoTime, grace: Duration) -> Self {
        Self { asked, grace }
    }

    /// Whether a new request is still taken.
    pub fn takes(&self, now: MonoTime, is_stream: bool) -> bool {
        let last = if is_stream {
            self.asked.after(TAKES_STREAMS_FOR)
        } else {
            self.asked.after(self.grace.saturating_sub(END_RESERVE + CALL_TIME))
        };
        now < last.min(self.end())
    }

    /// When the process ends, even with requests in progress.
    pub fn end(&self) -> MonoTime {
        self.asked.after(self.grace.saturating_sub(END_RESERVE))
    }
}
