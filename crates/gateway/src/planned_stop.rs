//! Decides which requests a stopping gateway still accepts.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// How long all requests are accepted after the stop was requested: by then the platform no longer
/// sends callers here, unless it has no other destination.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_800);

/// How long before the kill the process ends.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// Assumed maximum duration of a non-streaming call.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_500);

/// Assumed maximum time to the first chunk of a stream: a stream of at most 95 tokens took over 3.4
/// s on a user's deployment and was cut off by the end of a stop.
const MAX_FIRST_CHUNK_TIME: Duration = Duration::from_millis(3_000);

/// Assumed time per generated token. On two users' deployments whole streams took 7 ms per token in
/// the median and 18 to 21 ms at the 99th percentile on two days, but 41 ms on one whose engines
/// were overloaded: there it is no upper bound.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// What is known about the duration of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseShape {
    /// A non-streaming response.
    Call,
    /// A stream, with the maximum number of tokens if the caller limits it.
    Stream {
        /// Maximum number of tokens that may be generated.
        max_tokens: Option<u64>,
    },
}

impl ResponseShape {
    /// Assumed maximum duration; `None` if unknown.
    fn max_duration(self) -> Option<Duration> {
        match self {
            Self::Call => Some(MAX_CALL_TIME),
            Self::Stream { max_tokens } => {
                let tokens = u32::try_from(max_tokens?).unwrap_or(u32::MAX);
                Some(MAX_FIRST_CHUNK_TIME + TOKEN_TIME.saturating_mul(tokens))
            }
        }
    }
}

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

    /// Whether a new request is still accepted.
    pub fn accepts(&self, now: MonoTime, shape: ResponseShape) -> bool {
        if now < self.requested_at.after(ACCEPT_ALL_TIME).min(self.end()) {
            return true;
        }
        shape.max_duration().is_some_and(|max_duration| now.after(max_duration) < self.end())
    }

    /// When the process ends, even with requests in progress.
    pub fn end(&self) -> MonoTime {
        self.requested_at.after(self.grace.saturating_sub(KILL_MARGIN))
    }
}
