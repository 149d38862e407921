//! A piece of work that asks for admission.

use stallhoist_core::MonoTime;

/// A piece of work that asks for admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest<Id> {
    /// Whose work it is.
    pub id: Id,
    /// Knows the same work when it comes back after a refusal.
    pub key: u64,
    /// When it arrived.
    pub arrived: MonoTime,
    /// When its whole answer is due.
    pub deadline: MonoTime,
    /// Prompt tokens that no cache holds.
    pub uncached_tokens: u64,
    /// Tokens the answer is expected to have; 0 for a plain service's call.
    pub completion_tokens: u64,
}
