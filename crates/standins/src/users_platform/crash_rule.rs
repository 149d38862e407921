//! Requests that crash the upstream that runs them.

use std::time::Duration;

use bytes::Bytes;

/// Which requests crash an upstream's process.
#[derive(Debug, Clone, PartialEq)]
pub enum CrashTrigger {
    /// Requests whose body begins so.
    BodyPrefix(Bytes),
    /// Requests with this part in their prompt, as they begin to be answered: at most the head of the response is
    /// sent.
    PromptPart(String),
}

/// Which requests crash an upstream's process, and how it restarts.
#[derive(Debug, Clone, PartialEq)]
pub struct CrashRule {
    /// The requests that crash the process.
    pub trigger: CrashTrigger,
    /// Probability that such a request crashes the process, from 0 to 1.
    pub chance: f64,
    /// Time from the start of the request to the crash. If it is zero, no response is sent; otherwise it can have begun.
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
            trigger: CrashTrigger::BodyPrefix(Bytes::from(body_prefix.to_owned())),
            chance: 1.0,
            after: Duration::ZERO,
            restart_after: Duration::from_millis(300),
            listed_after: Duration::ZERO,
            keeps_listening: false,
        }
    }

    /// Crashes the process for every request with a part in its prompt, `after` the head of the response. The process
    /// restarts after 2.5 s.
    pub fn of_part(part: &str, after: Duration) -> Self {
        Self {
            trigger: CrashTrigger::PromptPart(part.to_owned()),
            after,
            restart_after: Duration::from_millis(2_500),
            ..Self::of("")
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
