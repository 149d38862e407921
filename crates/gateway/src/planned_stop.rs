//! What an entry that has been told to stop still takes.

use std::time::Duration;

use stallhoist_core::MonoTime;

/// How long every request is taken after the stop was asked for: by then the platform has
/// stopped sending callers here, unless it has nowhere else to send them.
const TAKES_ALL_FOR: Duration = Duration::from_millis(2_800);

/// The process ends so long before it would be killed.
const END_RESERVE: Duration = Duration::from_millis(200);

/// The most time that a plain call is reckoned to take.
const CALL_TIME: Duration = Duration::from_millis(1_500);

/// The most time that the first part of a stream is reckoned to take: a stream of at most 95
/// tokens took over 3.4 s on a user's deployment and was cut by the end of a stop.
const FIRST_PART_TIME: Duration = Duration::from_millis(3_000);

/// The time that each generated token is reckoned to take. On two users' deployments whole
/// streams took 7 ms a token in the median and 18 to 21 ms for 99 in 100 on two days, but
/// 41 ms on one whose engines were hard pressed: there it is no upper bound.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// What is known of how long a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseShape {
    /// It is answered whole.
    Call,
    /// It is answered with a stream; the most tokens, if the caller says.
    Stream {
        /// The most tokens that may be generated.
        max_tokens: Option<u64>,
    },
}

impl ResponseShape {
    /// The most time that it is reckoned to take; none when that is not known.
    fn longest(self) -> Option<Duration> {
        match self {
            Self::Call => Some(CALL_TIME),
            Self::Stream { max_tokens } => {
                let tokens = u32::try_from(max_tokens?).unwrap_or(u32::MAX);
                Some(FIRST_PART_TIME + TOKEN_TIME.saturating_mul(tokens))
            }
        }
    }
}

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
    pub fn accepts(&self, now: MonoTime, work: ResponseShape) -> bool {
        if now < self.asked.after(TAKES_ALL_FOR).min(self.end()) {
            return true;
        }
        work.longest().is_some_and(|longest| now.after(longest) < self.end())
    }

    /// When the process ends, even with requests in progress.
    pub fn end(&self) -> MonoTime {
        self.asked.after(self.grace.saturating_sub(END_RESERVE))
    }
}
