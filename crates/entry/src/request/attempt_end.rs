//! The result of an attempt that did not produce a complete response.

use std::time::Duration;

use stallhoist_core::NotRunReason;
use stallhoist_wire::messages::Refusal;

use super::EndKind;

const SERVER_ERRORS_FROM: u16 = 500;

/// Why an attempt ended without a complete response.
pub(super) enum AttemptEnd {
    Refused { reason: NotRunReason, retry_after: Duration },
    UpstreamError { detail: EndKind },
    Truncated { detail: String },
    Unknown,
}

impl AttemptEnd {
    /// Converts a rejection by the sidecar. An unknown reason code counts as "no upstream".
    pub(super) fn refused(refusal: &Refusal) -> Self {
        Self::Refused {
            reason: NotRunReason::from_code(refusal.reason).unwrap_or(NotRunReason::NoUpstream),
            retry_after: Duration::from_millis(refusal.retry_after_ms),
        }
    }

    /// Whether the attempt provably did not run.
    pub(super) fn is_proved_not_run(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Whether the attempt counts as a failure of the upstream, and a retry against the retry budget.
    pub(super) fn has_cost(&self) -> bool {
        match self {
            Self::Refused { reason, .. } => *reason == NotRunReason::UpstreamUnreachable,
            Self::UpstreamError { .. } => self.is_server_error(),
            Self::Truncated { .. } | Self::Unknown => true,
        }
    }

    /// Whether any other upstream would give the same result, so that a retry is pointless.
    pub(super) fn is_final(&self) -> bool {
        match self {
            Self::Refused { reason, .. } => matches!(
                reason,
                NotRunReason::NotAllowed
                    | NotRunReason::Withdrawn
                    | NotRunReason::Draining
                    | NotRunReason::DeadlinePassed
            ),
            Self::UpstreamError { .. } => !self.is_server_error(),
            Self::Truncated { .. } | Self::Unknown => false,
        }
    }

    fn is_server_error(&self) -> bool {
        match self {
            Self::UpstreamError { detail: EndKind::UpstreamError { http_status, .. } } => {
                *http_status >= SERVER_ERRORS_FROM
            }
            _ => false,
        }
    }
}
