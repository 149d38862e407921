//! Whether a request is retried on another upstream after a failed attempt.

/// The outcome of a failed attempt, as far as a retry depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether it is proved that the attempt has not run and will not run.
    pub is_proved_not_run: bool,
    /// Whether a part of the response was sent to the caller.
    pub is_delivered: bool,
    /// Whether the upstream was called; such a retry draws on the budget.
    pub has_cost: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// The maximum number of attempts.
    pub max_attempts: u32,
}

/// Whether the request may be retried. `take_budget` is called only if a retry is otherwise
/// allowed and has a cost.
pub fn may_retry(outcome: AttemptOutcome, take_budget: impl FnOnce() -> bool) -> bool {
    let is_safe = outcome.is_proved_not_run || outcome.is_repeatable;
    if !is_safe || outcome.is_delivered || outcome.attempts >= outcome.max_attempts {
        return false;
    }
    !outcome.has_cost || take_budget()
}
