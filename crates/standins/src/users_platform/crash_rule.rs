//! Requests that crash the upstream that runs them.

use std::time::Duration;

use bytes::Bytes;

/// Which requests crash an upstream's process, and how it restarts.
#[derive(Debug, Clone, PartialEq)]
pub struct CrashRule {
    /// Prefix of the body of requests that crash the process.
    pub body_prefix: Bytes,
    /// Probability that such a request crashes the process, from 0 to 1.
    pub chance: f64,
    /// Time from the start of the request to the crash. If it is zero, no response is sent. Otherwise the response
    /// can have begun.
    pub after: Duration,
    /// Time from the crash to the restart, which keeps address and ID.
    pub restart_after: Duration,
    /// Time from the restart until the new incarnation is listed.
    pub listed_after: Duration,
    /// Whether the address accepts connections throughout, as if a supervisor held the socket. Then only the
    /// connection of the request breaks.
    pub keeps_listening: bool,
}

impl CrashRule {
    /// Crashes the process for every request whose body starts with `body_prefix`, before it responds. The process
    /// restarts after 0.3 s.
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

    /// Like [`Self::of`], but the address accepts connections throughout. The crash becomes visible only when the
    /// new incarnation is listed, `listed_after` later.
    pub fn detected_by_listing(body_prefix: &str, listed_after: Duration) -> Self {
        Self {
            restart_after: Duration::ZERO,
            listed_after,
            keeps_listening: true,
            ..Self::of(body_prefix)
        }
    }
}
