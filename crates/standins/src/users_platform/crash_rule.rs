//! Requests that end the process that runs them.

use std::time::Duration;

use bytes::Bytes;

/// Which requests end an upstream's process, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct CrashRule {
    /// Requests whose body begins so.
    pub body_prefix: Bytes,
    /// The chance that one does, from 0 to 1.
    pub chance: f64,
    /// How long after the upstream has begun to run it. At once, no reply is sent; later, the answer
    /// is under way.
    pub after: Duration,
    /// How long after its end the upstream starts again, at its address and under its id.
    pub restart_after: Duration,
    /// How long after that its new start is listed.
    pub listed_after: Duration,
    /// Whether its address takes connections all the while, as with a supervisor that holds it: the
    /// request's own connection alone breaks then.
    pub keeps_listening: bool,
}

impl CrashRule {
    /// Each request whose body begins so ends the process before it replies; it is back after 0.3 s.
    pub fn of(body_prefix: &str) -> Self {
        Self {
            body_prefix: Bytes::from(body_prefix.to_owned()),
            chance: 1.0,
            after: Duration::ZERO,
            restart_after: Duration::from_millis(300),
            listed_after: Duration::ZERO,
            keeps_listening: false,
        }
    }

    /// The same, but its address takes connections all the while: that it has ended shows only when
    /// its new start is listed, so long afterwards.
    pub fn detected_by_listing(body_prefix: &str, listed_after: Duration) -> Self {
        Self {
            restart_after: Duration::ZERO,
            listed_after,
            keeps_listening: true,
            ..Self::of(body_prefix)
        }
    }
}
