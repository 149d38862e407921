//! Messages on the duties.

use std::collections::BTreeMap;

use stallhoist_core::FencingToken;
use stallhoist_core::IncarnationId;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::lease::LeaseRecord;
use stallhoist_policy::usage::DutySummary;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageUpdate;
use stallhoist_policy::usage::UsageWindow;

/// What a gateway tells a peer of the duties.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DutyRequest {
    /// The sender's time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub(super) unix_ms: u64,
    /// Counts that have changed.
    #[prost(message, repeated, tag = "2")]
    pub(super) windows: Vec<WindowMessage>,
    /// The state of the duty, if the peer may not know it.
    #[prost(message, optional, tag = "3")]
    pub(super) summary: Option<SummaryMessage>,
    /// Which state of the duty the sender knows.
    #[prost(message, optional, tag = "4")]
    pub(super) known: Option<KnownMessage>,
    /// Time of day up to which the counts of the sender and of its group are complete with this request.
    #[prost(uint64, tag = "5")]
    pub(super) complete_through_ms: u64,
    /// The revision after which the peer's counts are requested; absent if they are not.
    #[prost(uint64, optional, tag = "6")]
    pub(super) counts_after: Option<u64>,
}

/// The response to a [`DutyRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DutyResponse {
    /// The agreed time of day; absent for a relay, which determines it itself.
    #[prost(uint64, optional, tag = "1")]
    pub(super) unix_ms: Option<u64>,
    /// The state of the duty, if it is newer than what the requester knows.
    #[prost(message, optional, tag = "2")]
    pub(super) summary: Option<SummaryMessage>,
    /// The counts, if they were requested.
    #[prost(message, optional, tag = "3")]
    pub(super) counts: Option<CountsMessage>,
}

/// The counts that a gateway knows.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CountsMessage {
    #[prost(message, repeated, tag = "1")]
    pub(super) windows: Vec<WindowMessage>,
    /// The revision up to which these are.
    #[prost(uint64, tag = "2")]
    pub(super) revision: u64,
    /// Time of day up to which they are complete.
    #[prost(uint64, tag = "3")]
    pub(super) complete_through_ms: u64,
}

/// Counts of a window.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WindowMessage {
    #[prost(uint64, tag = "1")]
    pub(super) window: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) sources: Vec<SourceMessage>,
}

/// Counts of one process.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SourceMessage {
    #[prost(fixed64, tag = "1")]
    pub(super) source: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) counts: Vec<CountMessage>,
}

/// Count of a workspace, cumulative.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CountMessage {
    #[prost(string, tag = "1")]
    pub(super) workspace: String,
    #[prost(uint32, tag = "2")]
    pub(super) requests: u32,
}

/// A state of the duty, by which two can be compared.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct KnownMessage {
    #[prost(uint64, tag = "1")]
    pub(super) era: u64,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(uint64, tag = "3")]
    pub(super) sent_through: u64,
}

/// The state of the duty.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SummaryMessage {
    #[prost(message, optional, tag = "1")]
    pub(super) known: Option<KnownMessage>,
    #[prost(uint64, tag = "2")]
    pub(super) fixed_through: u64,
    #[prost(string, tag = "3")]
    pub(super) host: String,
    #[prost(bytes = "vec", tag = "4")]
    pub(super) incarnation: Vec<u8>,
    #[prost(uint64, tag = "5")]
    pub(super) epoch: u64,
    #[prost(bool, tag = "6")]
    pub(super) is_released: bool,
}

impl KnownMessage {
    pub(super) fn of(summary: &DutySummary) -> Self {
        Self {
            era: summary.version.era.0,
            version: summary.version.number,
            sent_through: summary.sent_through.0,
        }
    }

    pub(super) fn order(&self) -> (u64, u64, u64) {
        (self.era, self.version, self.sent_through)
    }
}

impl SummaryMessage {
    pub(super) fn of(summary: &DutySummary) -> Self {
        Self {
            known: Some(KnownMessage::of(summary)),
            fixed_through: summary.fixed_through.0,
            host: summary.lease.holder.host.to_string(),
            incarnation: summary.lease.holder.incarnation.as_bytes().to_vec(),
            epoch: summary.lease.epoch.0,
            is_released: summary.lease.is_released,
        }
    }

    /// The summary; none if it names no valid holder.
    pub(super) fn summary(&self) -> Option<DutySummary> {
        let known = self.known?;
        let holder = Holder {
            host: self.host.parse().ok()?,
            incarnation: IncarnationId::from_slice(&self.incarnation).ok()?,
        };
        Some(DutySummary {
            version: StoreVersion { era: StoreEra(known.era), number: known.version },
            lease: LeaseRecord {
                holder,
                epoch: FencingToken(self.epoch),
                is_released: self.is_released,
            },
            fixed_through: UsageWindow(self.fixed_through),
            sent_through: UsageWindow(known.sent_through),
        })
    }
}

/// The counts as a message.
pub(super) fn to_windows(updates: Vec<UsageUpdate>) -> Vec<WindowMessage> {
    let mut windows: BTreeMap<u64, BTreeMap<u64, Vec<CountMessage>>> = BTreeMap::new();
    for UsageUpdate { window, source, workspace, requests } in updates {
        let counts = windows.entry(window.0).or_default().entry(source.0).or_default();
        counts.push(CountMessage { workspace: workspace.to_string(), requests });
    }
    let to_source = |(source, counts)| SourceMessage { source, counts };
    let to_window = |(window, sources): (u64, BTreeMap<_, _>)| WindowMessage {
        window,
        sources: sources.into_iter().map(to_source).collect(),
    };
    windows.into_iter().map(to_window).collect()
}

/// The counts of a message; those of workspaces with invalid names are left out.
pub(super) fn from_windows(windows: &[WindowMessage]) -> impl Iterator<Item = UsageUpdate> {
    windows.iter().flat_map(|window| {
        window.sources.iter().flat_map(|source| {
            source.counts.iter().filter_map(|count| {
                Some(UsageUpdate {
                    window: UsageWindow(window.window),
                    source: UsageSource(source.source),
                    workspace: count.workspace.parse::<WorkspaceName>().ok()?,
                    requests: count.requests,
                })
            })
        })
    })
}
