//! Whether a request may be sent again, and what that takes from the budgets.

use stallhoist_policy::balance::Expectation;
use stallhoist_policy::retry::SecondAttempt;

use super::Execution;
use crate::retry_budgets::RetryUse;
use crate::upstreams::Chosen;

impl Execution {
    /// Whether another attempt is allowed. Each takes from the retry budget: the platform counts rejected
    /// requests as well.
    pub(super) fn may_retry(&mut self) -> bool {
        let is_repeat = self.progress.may_have_run();
        let take_budget = || {
            if is_repeat {
                self.take_repeat(self.last_expectation)
            } else {
                self.take_retry(self.retry_use())
            }
        };
        let may_retry = self.may_attempt_again(take_budget);
        if may_retry && is_repeat {
            self.second = Some(SecondAttempt::Repeat);
        }
        may_retry
    }

    /// Whether an attempt that has no response yet may be repeated elsewhere; if so, the retry is deducted.
    pub(super) fn take_repeat_of(&self, chosen: &Chosen) -> bool {
        let has_retry = || self.state.retries.lock().has_retry(&self.call.service_name);
        self.may_attempt_again(|| has_retry() && self.take_repeat(chosen.expectation()))
    }

    /// Whether there is engine time and budget for a repeat of an attempt with this expectation; if so, it is deducted.
    fn take_repeat(&self, expectation: Expectation) -> bool {
        let Expectation { first_chunk, engine_time, .. } = expectation;
        self.has_engine_time(SecondAttempt::Repeat, first_chunk, engine_time)
            && self.take_retry(self.retry_use())
    }

    fn retry_use(&self) -> RetryUse {
        if self.progress.is_delivered() { RetryUse::Resume } else { RetryUse::Repeat }
    }

    /// Whether a request that was sent may be sent again, for whatever reason. `take_budget` is called last.
    pub(super) fn may_attempt_again(&self, take_budget: impl FnOnce() -> bool) -> bool {
        self.state.now() < self.latest_end()
            && self.trials.is_empty()
            && self.progress.may_retry(true, take_budget)
    }

    /// Whether the retry budget allows a retry; if so, it is deducted.
    pub(super) fn take_retry(&self, retry_use: RetryUse) -> bool {
        let now = self.state.now();
        self.state.retries.lock().try_acquire(now, &self.call.service_name, retry_use)
    }
}
