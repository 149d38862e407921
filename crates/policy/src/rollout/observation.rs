//! What attempts show of a version.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;

/// What an attempt has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was answered; the first part of the answer came after this time.
    Answered(Duration),
    /// It is not answered yet, after the time from which on an answer is slow. Told at
    /// once: slow answers come late, and a verdict cannot wait for them.
    Overdue,
    /// It was answered after it had been overdue; the first part came after this time.
    AnsweredOverdue(Duration),
    /// A stream was generated at this pace.
    Paced(Duration),
    /// It failed, or its answer broke off.
    Failed,
}

/// Which time is compared, and by which load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LatencyKind {
    /// From sending the request to the first part of its answer. The load is the time that
    /// it was expected to take, in milliseconds: reading the prompt, as far as the upstream
    /// has not read it, and what it had to do before. A version that gets all requests at
    /// once has to read all prompts anew.
    First,
    /// The pause between two parts of a stream. The load is the requests in progress.
    Pause,
}

/// The requests whose times are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The route; none where it makes no difference, as for how fast a model generates.
    pub route: Option<RouteName>,
    /// The model that was asked, if any.
    pub model: Option<ModelName>,
    /// Which time it is.
    pub part: LatencyKind,
}
