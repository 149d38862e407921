//! What an upstream is chosen for, and which one was chosen.

use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::balance::PrefillWork;

use crate::rollouts::VersionRule;
use crate::routing::AllowedRegions;

/// What an upstream is chosen for.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) rule: &'a VersionRule,
    pub(crate) model: Option<&'a ModelName>,
    /// The model's pace as a part of the slowest one's, until its answers have shown it.
    pub(crate) relative_prefill_time: f64,
    pub(crate) prompt: Option<&'a Prompt>,
    pub(crate) body_bytes: usize,
    /// Differs from request to request. Of upstreams that cost the same, which many do in a
    /// large fleet, all entries must not choose the same one.
    pub(crate) tie_seed: u64,
    /// For a request that may end its upstream: by which one it is sent to, the same at all entries.
    pub(crate) isolation_seed: Option<u64>,
    /// Where the request may go, by its route and by its workspace: both bind.
    pub(crate) allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// Upstreams that this request was sent to before.
    pub(crate) tried: &'a [UpstreamIncarnation],
    /// The most connections that this entry keeps to one upstream.
    pub(crate) max_connections: u32,
}

/// Why there is no upstream for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnavailableReason {
    /// None is listed, or those that are cannot take it: that may change at any moment.
    NoneUsable,
    /// Those that may be used take no more than they get, and have no place for this entry before then.
    NoQuotaUntil(MonoTime),
    /// Other entries send them what they take until then.
    PeersHoldQuotaUntil(MonoTime),
    /// There are some, to which nothing may be sent until operators say otherwise.
    NoneAllowed,
}

/// The upstream that was chosen.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) start: UpstreamIncarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    pub(crate) work: PrefillWork,
    /// Tokens of the prompt that it is believed to have to read.
    pub(crate) unread_tokens: u64,
    /// The part of the expected wait that is the same for all prompts.
    pub(crate) base_ms: f64,
    /// The part of the expected wait that is owed to other requests.
    pub(crate) other_ms: f64,
}

impl Chosen {
    /// How long the first part of the answer is expected to take.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.wait_after(self.other_ms)
    }

    /// The same, if other requests take so long.
    pub(super) fn wait_after(&self, other_ms: f64) -> Duration {
        Duration::try_from_secs_f64(
            (self.base_ms + self.work.remaining_prefill_ms + other_ms) / 1e3,
        )
        .unwrap_or(Duration::MAX)
    }
}
