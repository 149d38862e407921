//! A validated request with everything that is needed to place and dispatch it.

use bytes::Bytes;
use stallhoist_core::AttemptId;
use stallhoist_core::CostMicros;
use stallhoist_core::HostId;
use stallhoist_core::IdempotencyKey;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestId;
use stallhoist_core::Revision;
use stallhoist_core::Target;
use stallhoist_core::TaskName;
use stallhoist_core::Usage;
use stallhoist_core::WorkspaceName;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::messages::Dispatch;
use stallhoist_wire::messages::Prefix;
use stallhoist_wire::messages::Probe;

use crate::learners::WorkKind;

/// Usage, cost and number of attempts of the earlier models of a cascade.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PriorUsage {
    pub(crate) usage: Usage,
    pub(crate) cost: CostMicros,
    pub(crate) attempts: u32,
}

/// A request that passed all checks and is ready to be placed.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: Target,
    /// The host that served the session's last response; `None` outside of a session.
    pub(crate) session_host: Option<HostId>,
    pub(crate) is_repeatable: bool,
    pub(crate) is_streamed: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    /// The hashes of the prompt's leading blocks; `None` if the prompt is shorter than a block.
    pub(crate) prefix: Option<Prefix>,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Identifies the same request when its caller retries it after a rejection.
    pub(crate) work_key: u64,
    /// The task that the caller named.
    pub(crate) task: Option<TaskName>,
    pub(crate) prior: PriorUsage,
    pub(crate) arrived: MonoTime,
    pub(crate) deadline: MonoTime,
}

impl Order {
    pub(crate) fn dispatch(&self, id: AttemptId, revision: Revision, now: MonoTime) -> Dispatch {
        Dispatch {
            attempt: attempt_to_wire(id),
            workspace: self.workspace.to_string(),
            target: self.target.to_string(),
            revision: revision.0,
            deadline_ms: self.deadline_ms(now),
            repeatable: self.is_repeatable,
            in_session: self.session_host.is_some(),
            stream: self.is_streamed,
            method: self.method.clone(),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
            prompt_tokens: self.prompt_tokens,
            expected_completion_tokens: self.completion_tokens,
            prefix: self.prefix.clone(),
            work_key: self.work_key,
            prior_prompt_tokens: self.prior.usage.prompt_tokens.0,
            prior_completion_tokens: self.prior.usage.completion_tokens.0,
            prior_cost_micros: self.prior.cost.0,
            idempotency_key: self
                .idempotency_key
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
        }
    }

    pub(crate) fn probe(&self, probe_id: u64, now: MonoTime) -> Probe {
        Probe {
            probe_id,
            target: self.target.to_string(),
            prompt_tokens: self.prompt_tokens,
            expected_completion_tokens: self.completion_tokens,
            deadline_ms: self.deadline_ms(now),
            prefix: self.prefix.clone(),
            work_key: self.work_key,
        }
    }

    /// The workspace and task for which statistics of models are kept.
    pub(crate) fn kind(&self) -> WorkKind {
        WorkKind { workspace: self.workspace.clone(), task: self.task.clone() }
    }

    /// The key that routes equal requests to the same upstreams: the hash of the prompt's first block,
    /// or the work key if there is none.
    pub(crate) fn affinity_key(&self) -> u64 {
        let first_block = self.prefix.as_ref().and_then(|prefix| prefix.mark_hashes.first());
        first_block.copied().unwrap_or(self.work_key)
    }

    fn deadline_ms(&self, now: MonoTime) -> u64 {
        u64::try_from(self.deadline.since(now).as_millis()).unwrap_or(u64::MAX)
    }
}
