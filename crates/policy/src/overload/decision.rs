//! Whether an attempt is sent now.

use std::time::Duration;

use displaydoc::Display;
use stallhoist_core::MonoTime;

/// Whether an attempt is sent to an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDecision {
    /// It is sent now.
    Send,
    /// It waits at the gateway, and asks again then at the latest.
    WaitUntil(MonoTime),
    /// The request cannot be served within its time limit.
    Reject {
        /// When there is expected to be room for it.
        retry_after: Duration,
        /// Why.
        reason: RejectReason,
    },
}

/// Why a request is rejected. The text is written to logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RejectReason {
    /// its time limit has passed
    NoTimeLeft,
    /// it is not expected to get a turn within its time limit
    NoTurnInTime,
    /// too much waits here already
    QueueFull,
}
