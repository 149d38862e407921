//! Whether an attempt without a response is given up for another upstream.
//!
//! Moving means that another upstream reads the prompt again. While all upstreams are slow, it only adds work.

use std::time::Duration;

/// An attempt that waits for its first chunk must be this much slower than another one to be given up. Keeps
/// requests from moving back and forth between upstreams with about the same load.
const HYSTERESIS: f64 = 1.5;

/// Interval at which a waiting attempt is compared again, as the load of upstreams changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt that waits for its first chunk.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitingAttempt {
    /// Time since it was sent.
    pub waited: Duration,
    /// Time that is left for the request.
    pub remaining: Duration,
    /// Time for which it waits in any case.
    pub min_wait: Duration,
    /// Time after which it leaves an upstream without a sign of life.
    pub max_silence: Duration,
    /// Expected time from when it was sent to its first chunk.
    pub expected: Duration,
    /// Expected time to the first chunk of another attempt from now on, if there is an upstream for it.
    pub expected_elsewhere: Option<Duration>,
    /// Whether its upstream has sent anything to anybody since.
    pub is_upstream_alive: bool,
}

/// Whether an attempt is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpDecision {
    /// It is given up, and another one is made.
    GiveUp,
    /// It waits on, and is compared again after this time.
    WaitFor(Duration),
}

impl WaitingAttempt {
    /// Whether the attempt is given up now.
    ///
    /// The longer an attempt is overdue, the longer it is expected to take: its remaining time counts as the time by
    /// which it is overdue. It is given up if another one is expected to be clearly faster than that, and to end in
    /// time. An upstream without a sign of life is left earlier, as it may hang.
    pub fn decide(&self) -> GiveUpDecision {
        if self.waited < self.min_wait {
            return GiveUpDecision::WaitFor(self.min_wait - self.waited);
        }
        if self.is_hanging() || self.is_faster_elsewhere() {
            return GiveUpDecision::GiveUp;
        }
        GiveUpDecision::WaitFor(CHECK_INTERVAL)
    }

    fn is_hanging(&self) -> bool {
        let is_overdue = self.overdue() >= self.expected || self.waited >= self.max_silence;
        !self.is_upstream_alive && is_overdue
    }

    fn is_faster_elsewhere(&self) -> bool {
        let Some(elsewhere) = self.expected_elsewhere else {
            return false;
        };
        let other = elsewhere.mul_f64(HYSTERESIS).max(self.expected);
        elsewhere <= self.remaining && self.overdue() > other
    }

    fn overdue(&self) -> Duration {
        self.waited.saturating_sub(self.expected)
    }
}
