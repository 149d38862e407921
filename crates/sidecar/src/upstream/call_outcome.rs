//! The outcome of a call to the upstream.

use std::time::Duration;

use stallhoist_coordination::AttemptFate;
use stallhoist_core::BillRecord;
use stallhoist_core::CostMicros;
use stallhoist_core::NotRunReason;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;
use stallhoist_wire::messages::FinalKind;

use crate::answer::Answer;
use crate::answer::AttemptEnd;
use crate::shared::Shared;

/// The retry time after the upstream refused a connection.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(500);

/// The outcome of a call to the upstream.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The connection was refused, so nothing ran.
    Unreachable,
    /// The response is complete.
    Whole(Usage),
    /// The call failed, was cancelled, or its response was truncated.
    Other { kind: FinalKind, detail: String },
}

impl CallOutcome {
    pub(crate) fn cancelled(why: &str) -> Self {
        Self::Other { kind: FinalKind::Cancelled, detail: why.to_owned() }
    }

    pub(crate) fn truncated(why: impl Into<String>) -> Self {
        Self::Other { kind: FinalKind::Truncated, detail: why.into() }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        matches!(self, Self::Other { kind: FinalKind::Cancelled, .. })
    }

    /// The length of a complete response, in tokens.
    pub(crate) fn completion_tokens(&self) -> Option<u64> {
        match self {
            Self::Whole(usage) => Some(usage.completion_tokens.0),
            _ => None,
        }
    }

    pub(crate) fn into_end(self, shared: &Shared, answer: &Answer) -> (AttemptEnd, AttemptFate) {
        match self {
            Self::Unreachable => {
                let reason = NotRunReason::UpstreamUnreachable;
                let end = AttemptEnd::NotRun { reason, retry_after: RETRY_AFTER_UNREACHABLE };
                (end, AttemptFate::NotRun)
            }
            Self::Whole(usage) => {
                let bill = Some(bill(shared, answer, usage));
                let end =
                    AttemptEnd::Started { kind: FinalKind::Whole, detail: String::new(), bill };
                (end, AttemptFate::Finished)
            }
            Self::Other { kind, detail } => {
                (AttemptEnd::Started { kind, detail, bill: None }, AttemptFate::Finished)
            }
        }
    }
}

fn bill(shared: &Shared, answer: &Answer, usage: Usage) -> BillRecord {
    let table = shared.table.current();
    let row = table.as_ref().and_then(|table| table.row(&answer.workspace, &answer.target));
    let price = row.map_or(CostMicros::default(), |row| row.cost_micros_per_1k_tokens);
    let dispatch = &answer.dispatch;
    let cost = price.for_tokens(usage.total_tokens()) + CostMicros(dispatch.prior_cost_micros);
    let usage = Usage {
        prompt_tokens: TokenCount(usage.prompt_tokens.0 + dispatch.prior_prompt_tokens),
        completion_tokens: TokenCount(usage.completion_tokens.0 + dispatch.prior_completion_tokens),
    };
    BillRecord {
        request: answer.id.request,
        attempt_number: answer.id.number,
        workspace: answer.workspace.clone(),
        target: answer.target.clone(),
        usage,
        cost_micros: cost,
    }
}
