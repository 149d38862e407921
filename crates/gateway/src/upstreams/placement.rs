//! The request for which an upstream is chosen, and the result of the choice.

use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::EngineTime;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::balance::Expectation;
use stallhoist_policy::balance::PrefillWork;

use crate::rollouts::VersionRule;
use crate::routing::AllowedRegions;

/// The request for which an upstream is chosen.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) rule: &'a VersionRule,
    pub(crate) route: &'a RouteName,
    pub(crate) is_stream: bool,
    /// Worth of a millisecond at the end of a stream relative to one before its first chunk.
    pub(crate) completion_weight: f64,
    pub(crate) model: Option<&'a ModelName>,
    /// The model's time per token relative to the slowest model's, used until responses have shown it.
    pub(crate) relative_prefill_time: f64,
    pub(crate) prompt: Option<&'a Prompt>,
    pub(crate) body_bytes: usize,
    /// Different for each request. In a large fleet many upstreams have the same cost, and gateways must
    /// not all choose the same one of them.
    pub(crate) tie_seed: u64,
    /// Seed of the choice for a request that may crash its upstream, the same at all gateways, so that all
    /// of them send it to the same upstream.
    pub(crate) isolation_seed: Option<u64>,
    /// The regions allowed by the request's route and by its workspace; both apply.
    pub(crate) allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// Upstreams to which this request was sent before.
    pub(crate) tried: &'a [UpstreamIncarnation],
    /// Connections that one upstream accepts from all gateways together; each request in progress uses one.
    pub(crate) max_connections: u32,
}

/// The reason for which there is no upstream for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnavailableReason {
    /// No upstream is listed, or none of the listed ones is usable. This may change at any moment.
    NoneUsable,
    /// The usable upstreams have as many connections as this gateway may have. One may end at any moment.
    NoConnection,
    /// The usable upstreams have no quota left for this gateway until then.
    NoQuotaUntil(MonoTime),
    /// Other gateways use the whole quota of the usable upstreams until then.
    PeersHoldQuotaUntil(MonoTime),
    /// Upstreams are listed, but operators or the allowed regions permit none of them.
    NoneAllowed,
}

/// The upstream that was chosen.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) start: UpstreamIncarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    pub(crate) work: PrefillWork,
    /// Prompt tokens that it probably has to prefill, as they are not in its prefix cache.
    pub(crate) unread_tokens: u64,
    /// Whether so many requests are in progress there that it may reset a new connection.
    pub(crate) is_crowded: bool,
    /// Component of the expected wait, in milliseconds, that is the same for all prompts.
    pub(crate) base_ms: f64,
    /// Component of the expected wait, in milliseconds, that is due to other requests.
    pub(crate) other_ms: f64,
    /// Duration of work at the upstream relative to one of normal speed.
    pub(crate) slowdown: f64,
    /// Whether the number of unread tokens is more than an assumption about other gateways' requests.
    pub(crate) is_cache_known: bool,
    /// The stream after its first event.
    pub(crate) generation: GenerationWork,
}

/// What a response takes after its first chunk.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GenerationWork {
    /// Duration at the upstream's present load and speed, in milliseconds.
    pub(crate) duration_ms: f64,
    /// Engine time, in milliseconds.
    pub(crate) engine_ms: f64,
    /// Engine time of one event, in milliseconds.
    pub(crate) engine_ms_per_event: f64,
}

impl Chosen {
    /// The expected time to the first chunk of the response.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.wait_after(self.other_ms)
    }

    /// Expected time until the upstream has read the prompt, after the work that it has.
    pub(crate) fn until_read(&self) -> Duration {
        duration_of_ms(self.other_ms + self.work.remaining_prefill_ms)
    }

    /// What the attempt is expected to take.
    pub(crate) fn expectation(&self) -> Expectation {
        let first_chunk = self.expected_wait();
        let completion = first_chunk.saturating_add(duration_of_ms(self.generation.duration_ms));
        let prefill_ms = self.base_ms + self.work.remaining_prefill_ms;
        let engine_time = EngineTime::from_millis(prefill_ms + self.generation.engine_ms);
        Expectation { first_chunk, completion, engine_time }
    }

    /// The expected time to the first chunk, if other requests take `other_ms`.
    pub(super) fn wait_after(&self, other_ms: f64) -> Duration {
        let own_ms = self.slowdown * (self.base_ms + self.work.remaining_prefill_ms);
        duration_of_ms(own_ms + other_ms)
    }
}

/// A time in milliseconds; the longest duration if it is none.
pub(super) fn duration_of_ms(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
