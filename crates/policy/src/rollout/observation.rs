//! Observations of attempts, by which versions are compared.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// There was a response; its first chunk came after this time.
    Answered(Duration),
    /// There is no response yet after the slow threshold. Reported at once: slow responses come late,
    /// and a decision cannot wait for them.
    Overdue,
    /// There was a response after `Overdue`; its first chunk came after this time.
    AnsweredOverdue(Duration),
    /// A stream was generated at this token interval.
    Paced(Duration),
    /// It failed, or its response broke.
    Failed,
}

/// A latency that is compared, and the load by which it is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LatencyKind {
    /// From sending the request to the first chunk of its response. The load is the predicted time, in
    /// milliseconds, for reading the uncached part of the prompt and for the work queued before it. A
    /// version that gets all requests at once has to read all prompts anew.
    First,
    /// The interval between two chunks of a stream. The load is the requests in progress.
    Pause,
}

/// Requests whose latencies are compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The route; none where it makes no difference, as for token intervals of a model.
    pub route: Option<RouteName>,
    /// The requested model, if any.
    pub model: Option<ModelName>,
    /// The latency.
    pub part: LatencyKind,
}
