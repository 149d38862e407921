//! What entries say to each other, as protocol buffers.

use std::time::Duration;

use stallhoist_core::NameError;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::TimedCounts;
use stallhoist_policy::rollout::VersionCounts;

use crate::control_store::Feed;
use crate::sessions::PinnedSession;
use crate::sessions::SessionKey;

/// The largest message: a whole configuration of many routes fits in.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Asks for a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerRequest {
    /// The number of the feed, see [`feed_number`]; 0 asks for none.
    #[prost(uint32, tag = "1")]
    pub(super) feed: u32,
    /// The version after which changes are wanted; absent for the whole feed.
    #[prost(uint64, optional, tag = "2")]
    pub(super) after: Option<u64>,
    /// How long to wait for changes.
    #[prost(uint64, tag = "3")]
    pub(super) wait_ms: u64,
    /// The host that asks.
    #[prost(string, tag = "4")]
    pub(super) host: String,
    /// What it has seen of versions that are rolled out, in all so far.
    #[prost(message, repeated, tag = "5")]
    pub(super) evidence: Vec<Evidence>,
    /// Sessions that stay on the old version of a service.
    #[prost(message, repeated, tag = "6")]
    pub(super) sessions: Vec<Session>,
    /// Whether the feed is wanted however old it is.
    #[prost(bool, tag = "7")]
    pub(super) accepts_stale: bool,
    /// The work that it, and the entries that tell it theirs, have in progress.
    #[prost(message, optional, tag = "8")]
    pub(super) work: Option<WorkMessage>,
    /// What it knows of the ends of roll-outs.
    #[prost(message, repeated, tag = "9")]
    pub(super) verdicts: Vec<DecisionMessage>,
    /// Whether it wants the usual times of versions that are in force.
    #[prost(bool, tag = "10")]
    pub(super) needs_baselines: bool,
    /// Whether it understands packed values.
    #[prost(bool, tag = "11")]
    pub(super) accepts_packed: bool,
    /// The large rows of the feed that it holds: their values may come as differences.
    #[prost(message, repeated, tag = "12")]
    pub(super) held: Vec<HeldRow>,
    /// Upstreams that are not well.
    #[prost(message, repeated, tag = "13")]
    pub(super) standings: Vec<HealthMessage>,
    /// Upstreams that ended while they ran a request.
    #[prost(message, repeated, tag = "14")]
    pub(super) ends: Vec<CrashMessage>,
    /// Limits that upstreams have named.
    #[prost(message, repeated, tag = "15")]
    pub(super) limits: Vec<LimitMessage>,
    /// Whether it has just started, and wants all limits that hold.
    #[prost(bool, tag = "16")]
    pub(super) is_starting: bool,
    /// The store's era by which it knows the feed. One of a former version tells none.
    #[prost(uint64, optional, tag = "17")]
    pub(super) store_era: Option<u64>,
}

/// What is known of a limit that an upstream has named.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LimitMessage {
    /// A hash of the upstream's start.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// Requests a second that it takes; absent when it names none any more.
    #[prost(double, optional, tag = "2")]
    pub(super) per_s: Option<f64>,
    /// How long ago it was so.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

/// An upstream ended while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CrashMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub(super) request: Vec<u8>,
    /// A hash of the upstream's start.
    #[prost(fixed64, tag = "2")]
    pub(super) upstream: u64,
    /// Whether the request has been answered whole since.
    #[prost(bool, tag = "3")]
    pub(super) is_cleared: bool,
}

/// A start of an upstream that is not well.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HealthMessage {
    /// A hash of it.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// For how much longer it is taken to be so.
    #[prost(uint32, tag = "2")]
    pub(super) left_ms: u32,
    /// Whether this start of it is over; else it refuses requests.
    #[prost(bool, tag = "3")]
    pub(super) is_over: bool,
}

/// A row that is held by the one that asks.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HeldRow {
    /// Its key.
    #[prost(string, tag = "1")]
    pub(super) key: String,
    /// The store's version at its last change.
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
}

/// What an entry knows of the end of a roll-out.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DecisionMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// The version of the order's row.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// Whether it is completed; else the new version is bad.
    #[prost(bool, tag = "3")]
    pub(super) is_completed: bool,
}

/// Work in progress, by upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WorkMessage {
    /// The upstreams that have any.
    #[prost(message, repeated, tag = "1")]
    pub(super) on: Vec<UpstreamWork>,
}

/// Work in progress on one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct UpstreamWork {
    /// A hash of the instance's name.
    #[prost(fixed64, tag = "1")]
    pub(super) upstream: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub(super) requests: u32,
    /// How long the upstream is expected to read their prompts.
    #[prost(uint32, tag = "3")]
    pub(super) reading_ms: u32,
}

/// A session that stays on the version that answered it.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Session {
    /// A hash of its name.
    #[prost(fixed64, tag = "1")]
    pub(super) key: u64,
    /// The service that it asks.
    #[prost(string, tag = "2")]
    pub(super) service: String,
    /// The version.
    #[prost(string, tag = "3")]
    pub(super) version: String,
    /// For how long it has asked nothing.
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

    /// The session that the message tells of.
    ///
    /// # Errors
    /// Fails when the service or the version has no valid name.
    pub(super) fn kept(&self) -> Result<PinnedSession, NameError> {
        Ok(PinnedSession {
            key: SessionKey(self.key),
            service: self.service.parse()?,
            version: self.version.parse()?,
            idle: Duration::from_millis(self.idle_ms),
        })
    }
}

/// What an entry has seen of a roll-out, in all so far.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Evidence {
    /// The service.
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// The version of the order's row: counts of another order are of no use.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// Answers of the old version.
    #[prost(uint64, tag = "3")]
    pub(super) old_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "4")]
    pub(super) old_failures: u64,
    /// Answers of the old version whose time to the first part was compared.
    #[prost(uint64, tag = "5")]
    pub(super) old_first_parts: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "6")]
    pub(super) old_slow_first_parts: u64,
    /// Answers of the new version.
    #[prost(uint64, tag = "7")]
    pub(super) new_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "8")]
    pub(super) new_failures: u64,
    /// Answers of the new version whose time to the first part was compared.
    #[prost(uint64, tag = "9")]
    pub(super) new_first_parts: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "10")]
    pub(super) new_slow_first_parts: u64,
    /// Streams of the old version whose pace was compared.
    #[prost(uint64, tag = "11")]
    pub(super) old_paces: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "12")]
    pub(super) old_slow_paces: u64,
    /// Streams of the new version whose pace was compared.
    #[prost(uint64, tag = "13")]
    pub(super) new_paces: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "14")]
    pub(super) new_slow_paces: u64,
}

impl Evidence {
    pub(super) fn of(service: &ServiceName, order: StoreVersion, totals: EvidenceTotals) -> Self {
        Self {
            service: service.to_string(),
            order_version: order.number,
            old_answers: totals.old.answers,
            old_failures: totals.old.failures,
            old_first_parts: totals.old.first_parts.timed,
            old_slow_first_parts: totals.old.first_parts.slow,
            old_paces: totals.old.paces.timed,
            old_slow_paces: totals.old.paces.slow,
            new_answers: totals.new.answers,
            new_failures: totals.new.failures,
            new_first_parts: totals.new.first_parts.timed,
            new_slow_first_parts: totals.new.first_parts.slow,
            new_paces: totals.new.paces.timed,
            new_slow_paces: totals.new.paces.slow,
        }
    }

    pub(super) fn totals(&self) -> EvidenceTotals {
        let old = VersionCounts {
            answers: self.old_answers,
            failures: self.old_failures,
            first_parts: TimedCounts {
                timed: self.old_first_parts,
                slow: self.old_slow_first_parts,
            },
            paces: TimedCounts { timed: self.old_paces, slow: self.old_slow_paces },
        };
        let new = VersionCounts {
            answers: self.new_answers,
            failures: self.new_failures,
            first_parts: TimedCounts {
                timed: self.new_first_parts,
                slow: self.new_slow_first_parts,
            },
            paces: TimedCounts { timed: self.new_paces, slow: self.new_slow_paces },
        };
        EvidenceTotals { old, new }
    }
}

/// The usual time of a version that is in force, at a load.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct BaselineMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// The version of the order's row.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// The route, where it makes a difference.
    #[prost(string, optional, tag = "3")]
    pub(super) route: Option<String>,
    /// The model, if one was asked.
    #[prost(string, optional, tag = "4")]
    pub(super) model: Option<String>,
    /// Whether it is a pause of a stream; else the time to the first part.
    #[prost(bool, tag = "5")]
    pub(super) is_pause: bool,
    /// The load.
    #[prost(double, tag = "6")]
    pub(super) load: f64,
    /// The time, in milliseconds.
    #[prost(double, tag = "7")]
    pub(super) usual_ms: f64,
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

/// The feed of a number.
pub(super) fn feed_of(number: u32) -> Option<Feed> {
    Feed::ALL.into_iter().find(|feed| feed_number(*feed) == number)
}
