//! Decides which requests a stopping gateway still accepts, and when it has responded to all of them.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// How long all requests are accepted after the stop was requested: by then the platform no longer
/// sends callers here, unless it has no other destination.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_800);

/// How long before the kill the process ends.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// How long before the end of the process the last requests get a response, so that it reaches their
/// callers.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// The schedule of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    requested_at: MonoTime,
    grace: Duration,
}

impl PlannedStop {
    /// Creates the schedule of a stop requested at `requested_at`; the process is killed after
    /// `grace`.
    pub fn new(requested_at: MonoTime, grace: Duration) -> Self {
        Self { requested_at, grace }
    }

    /// Whether a new request is still accepted whose response is due by `deadline`. How long it will
    /// take is not known, and what the stop cuts off may have run.
    pub fn accepts(&self, now: MonoTime, deadline: MonoTime) -> bool {
        let responses_due = self.responses_due();
        now < self.requested_at.after(ACCEPT_ALL_TIME).min(responses_due)
            || deadline <= responses_due
    }

    /// When requests in progress get a response, whatever has become of them.
    pub fn responses_due(&self) -> MonoTime {
        self.requested_at.after(self.grace.saturating_sub(KILL_MARGIN + RESPONSE_MARGIN))
    }

    /// When the process ends, even with requests in progress.
    pub fn end(&self) -> MonoTime {
        self.requested_at.after(self.grace.saturating_sub(KILL_MARGIN))
    }
}
