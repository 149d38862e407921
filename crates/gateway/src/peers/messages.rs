//! Protocol buffers exchanged between gateways.

use std::time::Duration;

use stallhoist_core::NameError;

use super::duty_messages::DutyRequest;
use super::evidence_message::Evidence;
use super::listing::ListingMessage;
use crate::control_store::Feed;
use crate::sessions::PinnedSession;
use crate::sessions::SessionKey;

/// Maximum message size; a configuration with many routes fits.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A request to a peer: polls a feed, or exchanges updates.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerRequest {
    /// Number of the feed, see [`feed_number`]; 0 requests none.
    #[prost(uint32, tag = "1")]
    pub(super) feed: u32,
    /// Version after which changes are requested; absent for the whole feed.
    #[prost(uint64, optional, tag = "2")]
    pub(super) after: Option<u64>,
    /// How long to wait for changes.
    #[prost(uint64, tag = "3")]
    pub(super) wait_ms: u64,
    /// Host that sends the request.
    #[prost(string, tag = "4")]
    pub(super) host: String,
    /// Its evidence on running rollouts, cumulative, and from a relay that of gateways that report to it.
    #[prost(message, repeated, tag = "5")]
    pub(super) evidence: Vec<Evidence>,
    /// Sessions that stay on the old version of a service.
    #[prost(message, repeated, tag = "6")]
    pub(super) sessions: Vec<Session>,
    /// Whether a stale copy of the feed is acceptable.
    #[prost(bool, tag = "7")]
    pub(super) accepts_stale: bool,
    /// Work in progress at the sender and at the gateways that report to it.
    #[prost(message, optional, tag = "8")]
    pub(super) work: Option<WorkMessage>,
    /// Rollout decisions known to the sender.
    #[prost(message, repeated, tag = "9")]
    pub(super) rollout_decisions: Vec<DecisionMessage>,
    /// Whether the baseline latencies of active versions are requested.
    #[prost(bool, tag = "10")]
    pub(super) needs_baselines: bool,
    /// Whether the sender accepts packed values.
    #[prost(bool, tag = "11")]
    pub(super) accepts_packed: bool,
    /// Large rows of the feed that the sender holds: their values may be sent as deltas.
    #[prost(message, repeated, tag = "12")]
    pub(super) held: Vec<HeldRow>,
    /// Unhealthy upstreams.
    #[prost(message, repeated, tag = "13")]
    pub(super) health: Vec<HealthMessage>,
    /// Upstreams that crashed while they ran a request.
    #[prost(message, repeated, tag = "14")]
    pub(super) ends: Vec<CrashMessage>,
    /// Rate limits that upstreams have reported.
    #[prost(message, repeated, tag = "15")]
    pub(super) limits: Vec<LimitMessage>,
    /// Whether the sender has just started and requests all current limits.
    #[prost(bool, tag = "16")]
    pub(super) is_starting: bool,
    /// Store era of the sender's copy of the feed; absent from older releases.
    #[prost(uint64, optional, tag = "17")]
    pub(super) store_era: Option<u64>,
    /// What concerns the duties.
    #[prost(message, optional, tag = "18")]
    pub(super) duties: Option<DutyRequest>,
    /// The sender, if it asks to be listed in the store.
    #[prost(message, optional, tag = "19")]
    pub(super) listing: Option<ListingMessage>,
    /// Upstreams that crashed while they ran requests with a part in their prompts.
    #[prost(message, repeated, tag = "20")]
    pub(super) part_ends: Vec<PartCrashMessage>,
}

/// A rate limit that an upstream has reported.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LimitMessage {
    /// Hash of the upstream's incarnation.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// Requests per second that it accepts; absent if it no longer reports a limit.
    #[prost(double, optional, tag = "2")]
    pub(super) per_s: Option<f64>,
    /// Age of this information.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

/// An upstream crashed while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CrashMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub(super) request: Vec<u8>,
    /// Hash of the upstream's incarnation.
    #[prost(fixed64, tag = "2")]
    pub(super) upstream: u64,
    /// Whether the request has been completed successfully since.
    #[prost(bool, tag = "3")]
    pub(super) is_cleared: bool,
}

/// An upstream crashed while it ran requests with a part in their prompts.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PartCrashMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub(super) service: u64,
    /// Id of the part.
    #[prost(fixed64, tag = "2")]
    pub(super) part: u64,
    /// Hash of the upstream's incarnation.
    #[prost(fixed64, tag = "3")]
    pub(super) upstream: u64,
    /// Whether a response to a request with the part has gone well since.
    #[prost(bool, tag = "4")]
    pub(super) is_cleared: bool,
    /// How far a response to a request with the part had come there, as `crashes` numbers it.
    #[prost(uint32, tag = "5")]
    pub(super) phase: u32,
    /// Time since that response broke.
    #[prost(uint32, tag = "6")]
    pub(super) age_ms: u32,
}

/// An unhealthy incarnation of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HealthMessage {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// Remaining time for which this holds.
    #[prost(uint32, tag = "2")]
    pub(super) left_ms: u32,
    /// Whether the incarnation has terminated; else it rejects requests.
    #[prost(bool, tag = "3")]
    pub(super) is_terminated: bool,
}

/// A row that the sender of a request holds.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HeldRow {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    /// Store version of its last change.
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
}

/// A rollout decision.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DecisionMessage {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Version of the order's row.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// Whether the rollout completed; else the new version is bad.
    #[prost(bool, tag = "3")]
    pub(super) is_completed: bool,
}

/// Work in progress, by upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WorkMessage {
    /// The upstreams that have any.
    #[prost(message, repeated, tag = "1")]
    pub(super) upstreams: Vec<UpstreamWork>,
}

/// Work in progress at one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct UpstreamWork {
    /// Hash of the instance's name.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub(super) requests: u32,
    /// Expected time for the upstream to read (prefill) their prompts.
    #[prost(uint32, tag = "3")]
    pub(super) prefill_ms: u32,
    /// Engine time that is left of them, prefill and generation; absent from older releases.
    #[prost(uint32, tag = "4")]
    pub(super) engine_ms: u32,
    /// Number of observations of its speed; absent where this message does not tell the speed.
    #[prost(uint32, tag = "5")]
    pub(super) speed_weight: u32,
    /// Sum of the logarithms of observed over expected duration, in thousandths.
    #[prost(sint32, tag = "6")]
    pub(super) speed_log_milli: i32,
}

/// A session that stays on the version that served it.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Session {
    /// Hash of the session's name.
    #[prost(fixed64, tag = "1")]
    pub(super) key: u64,
    /// The service that it uses.
    #[prost(string, tag = "2")]
    pub(super) service: String,
    /// The version.
    #[prost(string, tag = "3")]
    pub(super) version: String,
    /// Time since its last request.
    #[prost(uint64, tag = "4")]
    pub(super) idle_ms: u64,
}

impl Session {
    pub(super) fn of(kept: &PinnedSession) -> Self {
        Self {
            key: kept.key.0,
            service: kept.service.to_string(),
            version: kept.version.to_string(),
            idle_ms: u64::try_from(kept.idle.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Decodes the session.
    ///
    /// # Errors
    /// Fails when the service or version name is invalid.
    pub(super) fn kept(&self) -> Result<PinnedSession, NameError> {
        Ok(PinnedSession {
            key: SessionKey(self.key),
            service: self.service.parse()?,
            version: self.version.parse()?,
            idle: Duration::from_millis(self.idle_ms),
        })
    }
}

/// Baseline latency of an active version at a load.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct BaselineMessage {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Version of the order's row.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// The route, where latencies differ by route.
    #[prost(string, optional, tag = "3")]
    pub(super) route: Option<String>,
    /// The model, if one was requested.
    #[prost(string, optional, tag = "4")]
    pub(super) model: Option<String>,
    /// Whether it is a pause between chunks of a stream; else the time to first chunk.
    #[prost(bool, tag = "5")]
    pub(super) is_pause: bool,
    #[prost(double, tag = "6")]
    pub(super) load: f64,
    /// The latency, in milliseconds.
    #[prost(double, tag = "7")]
    pub(super) usual_ms: f64,
    /// Variance of the latencies' logarithms; none from a gateway that does not tell it.
    #[prost(double, optional, tag = "8")]
    pub(super) log_variance: Option<f64>,
}

/// The number of a feed in messages.
pub(super) fn feed_number(feed: Feed) -> u32 {
    match feed {
        Feed::Operators => 1,
        Feed::Members => 2,
        Feed::Rollouts => 3,
        Feed::Entries => 4,
        Feed::FatalRequests => 5,
    }
}

/// The feed with this number.
pub(super) fn feed_of(number: u32) -> Option<Feed> {
    Feed::ALL.into_iter().find(|feed| feed_number(*feed) == number)
}
