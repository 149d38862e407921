//! A request to the admission controller.

use stallhoist_core::MonoTime;

/// A request to the admission controller.
#[derive(Debug, Clone)]
pub struct AdmissionRequest<Id> {
    /// Identifies the request in later calls.
    pub id: Id,
    /// Identifies the same request when it is retried after a rejection.
    pub key: u64,
    /// Arrival time.
    pub arrived: MonoTime,
    /// Deadline of the whole response.
    pub deadline: MonoTime,
    /// Prompt tokens that are not in the engine's prefix cache.
    pub uncached_tokens: u64,
    /// Expected tokens of the response; 0 for a call of a plain service.
    pub completion_tokens: u64,
}
