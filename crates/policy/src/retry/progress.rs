//! The state of the attempts of one request.

use super::AttemptOutcome;
use super::may_retry;

/// The maximum number of attempts of a request that are not counted because their upstream
/// crashed. It is the number of unexplained crashes after which a request is quarantined.
const MAX_EXCUSED_CRASHES: u32 = 3;

/// The retry rules of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRules {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether another attempt may continue a truncated response after the last chunk that was
    /// sent to the caller.
    pub is_resumable: bool,
    /// The maximum number of attempts.
    pub max_attempts: u32,
    /// The maximum number of failed connections, which do not count as attempts.
    pub max_connect_failures: u32,
}

/// The state of the attempts of one request. Every caller interface keeps one per request
/// and consults it before another attempt.
///
/// Each attempt is recorded with [`sent`](Self::sent) when its request is sent, and with
/// [`proved_not_run`](Self::proved_not_run) if it turns out not to have run. Until then it
/// counts as one that may have run, so that "not run" is never reported wrongly.
#[derive(Debug, Clone)]
pub struct RequestProgress {
    rules: RequestRules,
    attempts: u32,
    connect_failures: u32,
    /// Attempts that are not proved not to have run.
    unproved_attempts: u32,
    is_last_proved_not_run: bool,
    is_delivered: bool,
    excused_crashes: u32,
}

impl RequestProgress {
    /// Creates the state of a request that was not sent yet.
    pub fn new(rules: RequestRules) -> Self {
        Self {
            rules,
            attempts: 0,
            connect_failures: 0,
            unproved_attempts: 0,
            is_last_proved_not_run: false,
            is_delivered: false,
            excused_crashes: 0,
        }
    }

    /// Records that the request is sent to an upstream, or may have reached it.
    pub fn sent(&mut self) {
        self.attempts += 1;
        self.unproved_attempts += 1;
        self.is_last_proved_not_run = false;
    }

    /// Records a failed connection, on which nothing was sent. Returns whether another may be
    /// tried.
    pub fn connect_failed(&mut self) -> bool {
        self.connect_failures += 1;
        self.connect_failures < self.rules.max_connect_failures
    }

    /// Records a proof that the last attempt has not run and will not run.
    pub fn proved_not_run(&mut self) {
        if !self.is_last_proved_not_run {
            self.unproved_attempts = self.unproved_attempts.saturating_sub(1);
            self.is_last_proved_not_run = true;
        }
    }

    /// Records that the upstream of an attempt crashed while running it. Another request may have
    /// crashed the upstream, so up to `MAX_EXCUSED_CRASHES` such attempts are not counted. They
    /// may still have run.
    pub fn upstream_ended(&mut self) {
        if self.excused_crashes < MAX_EXCUSED_CRASHES {
            self.excused_crashes += 1;
            self.rules.max_attempts += 1;
        }
    }

    /// Records that a part of the response is sent to the caller.
    pub fn delivered(&mut self) {
        self.is_delivered = true;
    }

    /// Whether a part of the response was sent to the caller.
    pub fn is_delivered(&self) -> bool {
        self.is_delivered
    }

    /// The number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether an attempt may have run. If not, the caller may be told that nothing has run.
    pub fn may_have_run(&self) -> bool {
        self.unproved_attempts > 0
    }

    /// Whether the next attempt is the last if it runs.
    pub fn is_next_last(&self) -> bool {
        !self.rules.is_repeatable || self.attempts + 1 >= self.rules.max_attempts
    }

    /// Whether the request may be sent to another upstream, after an attempt without a complete
    /// response or in place of one whose response is dropped. `has_cost` says whether the attempt
    /// used an upstream; only then `take_budget` is called, and only if a retry is otherwise
    /// allowed.
    pub fn may_retry(&self, has_cost: bool, take_budget: impl FnOnce() -> bool) -> bool {
        let outcome = AttemptOutcome {
            is_repeatable: self.rules.is_repeatable,
            is_proved_not_run: !self.may_have_run(),
            is_delivered: self.is_delivered && !self.rules.is_resumable,
            has_cost,
            attempts: self.attempts,
            max_attempts: self.rules.max_attempts,
        };
        may_retry(outcome, take_budget)
    }
}
