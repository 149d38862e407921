//! Whether a request whose attempt did not succeed is tried elsewhere.

/// What is known when an attempt has not succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the caller allows the request to run more than once.
    pub is_repeatable: bool,
    /// Whether it is proved that the attempt did not run and will not.
    pub is_proved_not_run: bool,
    /// Whether a part of the answer has gone out to the caller.
    pub is_delivered: bool,
    /// Whether the upstream was called: such a retry costs work and takes budget.
    pub has_cost: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// The most attempts.
    pub max_attempts: u32,
}

/// Whether the request may be tried elsewhere; `take_budget` is asked only when a
/// retry is otherwise allowed and has a cost.
pub fn may_retry(facts: AttemptOutcome, take_budget: impl FnOnce() -> bool) -> bool {
    let is_safe = facts.is_proved_not_run || facts.is_repeatable;
    if !is_safe || facts.is_delivered || facts.attempts >= facts.max_attempts {
        return false;
    }
    !facts.has_cost || take_budget()
}
