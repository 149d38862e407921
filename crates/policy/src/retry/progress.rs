//! How far the attempts of one request have come, and what may follow.

use super::AttemptOutcome;
use super::may_retry;

/// Of the attempts of one request so many do not count, as their upstreams have ended. As many ends as
/// hold a request back that others do not explain.
const MAX_UNCOUNTED_ENDS: u32 = 3;

/// What a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRules {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether an answer that broke off may be continued by another attempt, after the last
    /// part that the caller has.
    pub is_resumable: bool,
    /// The most upstreams that the request is sent to.
    pub max_attempts: u32,
    /// The most connections that may fail to come up; none of them counts as an attempt.
    pub max_connect_failures: u32,
}

/// How far the attempts of one request have come: what every interface for callers keeps of
/// a request, and what it asks before another attempt.
///
/// Each attempt is told with [`sent`](Self::sent) when its request goes out, and with
/// [`proved_not_run`](Self::proved_not_run) if it turns out not to have run. Until then it
/// counts as one that may have run, so that "not run" is never said wrongly.
#[derive(Debug, Clone)]
pub struct RequestProgress {
    rules: RequestRules,
    attempts: u32,
    connect_failures: u32,
    /// Attempts of which it is not proved that they did not run.
    unproved_attempts: u32,
    is_last_proved: bool,
    is_delivered: bool,
    uncounted_ends: u32,
}

impl RequestProgress {
    /// A request of which nothing has been sent yet.
    pub fn new(rules: RequestRules) -> Self {
        Self {
            rules,
            attempts: 0,
            connect_failures: 0,
            unproved_attempts: 0,
            is_last_proved: false,
            is_delivered: false,
            uncounted_ends: 0,
        }
    }

    /// The request is sent to an upstream, or may have reached it.
    pub fn sent(&mut self) {
        self.attempts += 1;
        self.unproved_attempts += 1;
        self.is_last_proved = false;
    }

    /// No connection came up, so nothing was sent. Says whether another may be tried.
    pub fn connect_failed(&mut self) -> bool {
        self.connect_failures += 1;
        self.connect_failures < self.rules.max_connect_failures
    }

    /// It is proved that the attempt that was sent last did not run and will not.
    pub fn proved_not_run(&mut self) {
        if !self.is_last_proved {
            self.unproved_attempts = self.unproved_attempts.saturating_sub(1);
            self.is_last_proved = true;
        }
    }

    /// The upstream of an attempt has ended while it ran it. What ran beside a request that ends
    /// upstreams has done nothing: such an attempt does not count, so often at most. It may have run
    /// all the same.
    pub fn upstream_ended(&mut self) {
        if self.uncounted_ends < MAX_UNCOUNTED_ENDS {
            self.uncounted_ends += 1;
            self.rules.max_attempts += 1;
        }
    }

    /// A part of the answer goes out to the caller.
    pub fn delivered(&mut self) {
        self.is_delivered = true;
    }

    /// Whether a part of the answer has gone out to the caller.
    pub fn is_delivered(&self) -> bool {
        self.is_delivered
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether an attempt may have run: if not, the caller may be told that nothing has.
    pub fn may_have_run(&self) -> bool {
        self.unproved_attempts > 0
    }

    /// Whether the rules leave another attempt, whatever came of the others.
    pub fn has_attempt_left(&self) -> bool {
        self.attempts < self.rules.max_attempts
    }

    /// Whether the next attempt is the last one.
    pub fn is_next_last(&self) -> bool {
        self.attempts + 1 >= self.rules.max_attempts
    }

    /// Whether the request, whose last attempt did not give the whole answer, may be sent to
    /// another upstream. `has_cost` says whether the attempt took an upstream's time; only
    /// then `take_budget` is asked, and only when the rest allows it.
    pub fn may_retry(&self, has_cost: bool, take_budget: impl FnOnce() -> bool) -> bool {
        let facts = AttemptOutcome {
            is_repeatable: self.rules.is_repeatable,
            is_proved_not_run: !self.may_have_run(),
            is_delivered: self.is_delivered && !self.rules.is_resumable,
            has_cost,
            attempts: self.attempts,
            max_attempts: self.rules.max_attempts,
        };
        may_retry(facts, take_budget)
    }
}
