//! Labels of the metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use stallhoist_policy::usage::Delivery;

use crate::peers::Origin;
use crate::retry_budgets::RetryUse;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestOutcome {
    /// An upstream's response was forwarded whole, or its stream was begun.
    Answered,
    /// An upstream's own failure was forwarded.
    UpstreamFailure,
    /// It was rejected without having run.
    NotRun,
    /// It was rejected because upstreams crashed while they ran it.
    HeldBack,
    /// It was rejected because operators allow no upstream to be used for it.
    NotAllowed,
    /// It failed and may have run.
    Failed,
    /// It was invalid.
    Rejected,
    /// The caller left before the end of the stream.
    Abandoned,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum AttemptResult {
    /// It succeeded, or its stream was begun.
    Answered,
    /// The upstream responded with a failure of its own.
    Failure,
    /// The upstream guaranteed that it did not run.
    NotRun,
    /// The upstream could not be connected to.
    NotSent,
    /// The connection failed, or the response did not belong to the request.
    Broken,
    /// The timeout expired.
    TimedOut,
    /// This process ended before the response.
    Stopped,
    /// This gateway had no memory for the response.
    NoMemory,
    /// The response was dropped and a better model requested.
    SteppedUp,
}

/// What engine time was used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum EngineTimeUse {
    /// The first attempt of a request, whose response was forwarded.
    Answered,
    /// A better model, after a poor response of a smaller one.
    SecondLeg,
    /// A poor response that was dropped for that of a better model.
    Replaced,
    /// A response that was forwarded after an earlier attempt had failed.
    Repeated,
    /// An attempt that failed, or was given up for another.
    GivenUp,
    /// An attempt whose caller left.
    Abandoned,
}

/// Labels of engine time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EngineTimeLabels {
    pub(crate) service: String,
    pub(crate) used_for: EngineTimeUse,
}

/// What was decided on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum AdmissionResult {
    /// It was sent when it was ready.
    SentAtOnce,
    /// It was sent after it had waited for room at an upstream.
    SentAfterWait,
    /// It was rejected as its time limit had passed.
    RejectedNoTimeLeft,
    /// It was rejected as no turn was expected within its time limit.
    RejectedNoTurnInTime,
    /// It was rejected as too much was waiting.
    RejectedQueueFull,
}

/// Labels of admission decisions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AdmissionLabels {
    pub(crate) result: AdmissionResult,
}

/// Labels of broken responses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PhaseLabels {
    pub(crate) phase: String,
}

/// Labels of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) end: RequestOutcome,
}

/// Labels of attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    pub(crate) result: AttemptResult,
}

/// Labels of retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    pub(crate) service: String,
    pub(crate) used_for: RetryUse,
    pub(crate) granted: bool,
}

/// Labels of the evidence of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EvidenceLabels {
    pub(crate) service: String,
    pub(crate) test: String,
}

/// A version of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RolloutSide {
    Old,
    New,
}

/// Labels of the load at which a version's latencies were measured.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LoadLabels {
    pub(crate) service: String,
    pub(crate) side: RolloutSide,
}

/// What became of a response of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RolloutResult {
    Answered,
    Failed,
}

/// Labels of the responses that a rollout is judged by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RolloutResponseLabels {
    pub(crate) service: String,
    pub(crate) side: RolloutSide,
    pub(crate) result: RolloutResult,
}

/// Labels of the bytes received of feeds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct FeedLabels {
    pub(crate) origin: Origin,
}

/// What became of a usage report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum UsageResult {
    /// The platform accepted it.
    Delivered,
    /// The platform rejected it.
    Rejected,
    /// A call failed; the report is sent again.
    Failed,
    /// There was none: its counts were not known, or it was overdue.
    LeftOut,
}

impl UsageResult {
    pub(crate) fn of(delivery: Delivery) -> Self {
        match delivery {
            Delivery::Delivered => Self::Delivered,
            Delivery::Rejected => Self::Rejected,
            Delivery::Failed => Self::Failed,
        }
    }
}

/// Which of a service's upstreams a slowdown is that of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SlowdownRank {
    Least,
    Median,
    Greatest,
}

/// Labels of the slowdowns of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SlowdownLabels {
    pub(crate) service: String,
    pub(crate) rank: SlowdownRank,
}

/// Labels of usage reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UsageLabels {
    pub(crate) result: UsageResult,
}
