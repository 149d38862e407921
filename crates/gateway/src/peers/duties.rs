//! Exchanges with peers what concerns the duties: the counts of usage, the time of day and the state of the duty.
//!
//! Counts go the way of the work in progress: each gateway sends its own to a relay, the relays send those of their
//! groups to each other, so that any relay can continue the duty. Only what has changed since the peer's last
//! response is sent. A peer that did not respond gets everything again, as it may have been restarted. A holder that
//! is not a relay requests the counts of the others.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::FencingToken;
use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::lease::LeaseRecord;
use stallhoist_policy::usage::DutySummary;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageUpdate;
use stallhoist_policy::usage::UsageWindow;

use super::client::PeerClient;
use super::messages::PeerRequest;
use super::push_targets::PushTargets;
use crate::duties::Duties;
use crate::state::GatewayState;

/// Interval between two exchanges: the counts since the last one are lost with a process that is killed.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

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
    windows: Vec<WindowMessage>,
    /// The revision up to which these are.
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Time of day up to which they are complete.
    #[prost(uint64, tag = "3")]
    complete_through_ms: u64,
}

/// Counts of a window.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WindowMessage {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(message, repeated, tag = "2")]
    sources: Vec<SourceMessage>,
}

/// Counts of one process.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SourceMessage {
    #[prost(fixed64, tag = "1")]
    source: u64,
    #[prost(message, repeated, tag = "2")]
    counts: Vec<CountMessage>,
}

/// Count of a workspace, cumulative.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CountMessage {
    #[prost(string, tag = "1")]
    workspace: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
}

/// A state of the duty, by which two can be compared.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct KnownMessage {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    sent_through: u64,
}

/// The state of the duty.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SummaryMessage {
    #[prost(message, optional, tag = "1")]
    known: Option<KnownMessage>,
    #[prost(uint64, tag = "2")]
    fixed_through: u64,
    #[prost(string, tag = "3")]
    host: String,
    #[prost(bytes = "vec", tag = "4")]
    incarnation: Vec<u8>,
    #[prost(uint64, tag = "5")]
    epoch: u64,
    #[prost(bool, tag = "6")]
    is_released: bool,
}

impl KnownMessage {
    fn of(summary: &DutySummary) -> Self {
        Self {
            era: summary.version.era.0,
            version: summary.version.number,
            sent_through: summary.sent_through.0,
        }
    }

    fn order(&self) -> (u64, u64, u64) {
        (self.era, self.version, self.sent_through)
    }
}

impl SummaryMessage {
    fn of(summary: &DutySummary) -> Self {
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
    fn summary(&self) -> Option<DutySummary> {
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

/// Exchanges with peers, forever. Returns at once if there are no duties.
pub(crate) async fn exchange_duties(state: Arc<GatewayState>) {
    let Some(mut exchange) = DutyExchange::new(&state) else {
        return;
    };
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        exchange.run().await;
    }
}

/// Exchanges with peers once, as the process is about to end.
pub(crate) async fn flush_duties(state: &GatewayState) {
    if let Some(mut exchange) = DutyExchange::new(state) {
        exchange.run().await;
    }
}

/// What a peer has confirmed.
#[derive(Debug, Clone, Copy, Default)]
struct Confirmed {
    /// The revision of the counts.
    revision: u64,
    /// The state of the duty.
    known: Option<KnownMessage>,
    /// The revision of the peer's counts that were received.
    received: u64,
}

#[derive(Debug)]
struct DutyExchange<'a> {
    state: &'a GatewayState,
    duties: &'a Duties,
    client: PeerClient,
    targets: PushTargets,
    confirmed: HashMap<SocketAddr, Confirmed>,
}

impl<'a> DutyExchange<'a> {
    fn new(state: &'a GatewayState) -> Option<Self> {
        Some(Self {
            state,
            duties: state.duties.as_ref()?,
            client: PeerClient::new(RESPONSE_TIMEOUT),
            targets: PushTargets::default(),
            confirmed: HashMap::new(),
        })
    }

    async fn run(&mut self) {
        let (targets, relays) = {
            let peers = self.state.peers.lock();
            (self.targets.select(self.state.now(), &peers), peers.relays())
        };
        self.confirmed.retain(|addr, _| targets.iter().any(|(_, target)| target == addr));
        let is_relay = relays.contains(&self.state.settings.host.id);
        let needs_counts = self.duties.is_holder() && !is_relay;
        for (host, addr) in targets {
            self.exchange_with(host, addr, &relays, needs_counts).await;
        }
    }

    async fn exchange_with(
        &mut self,
        host: HostId,
        addr: SocketAddr,
        relays: &[HostId],
        needs_counts: bool,
    ) {
        let confirmed = self.confirmed.get(&addr).copied().unwrap_or_default();
        let complete_through = self.duties.complete_through(self.state.now(), relays);
        let (updates, revision) = self.duties.changes(confirmed.revision, relays);
        let summary = self.duties.summary();
        let known = summary.as_ref().map(KnownMessage::of);
        let is_told = known == confirmed.known;
        let request = PeerRequest {
            host: self.state.settings.host.id.to_string(),
            duties: Some(DutyRequest {
                unix_ms: unix_ms(Duties::local_unix()),
                windows: to_windows(updates),
                summary: summary.filter(|_| !is_told).map(|summary| SummaryMessage::of(&summary)),
                known,
                complete_through_ms: unix_ms(complete_through),
                counts_after: needs_counts.then_some(confirmed.received),
            }),
            ..PeerRequest::default()
        };
        match self.client.send(addr, &request).await {
            Ok(response) => {
                let response = response.duties.unwrap_or_default();
                let received = response.counts.as_ref().map_or(0, |counts| counts.revision);
                self.confirmed.insert(addr, Confirmed { revision, known, received });
                self.apply_response(&host, &response);
            }
            Err(error) => {
                log::debug!(addr:% = addr, error:% = error; "failed to exchange usage with a peer");
                self.confirmed.remove(&addr);
                self.targets.skip(self.state.now(), addr);
            }
        }
    }

    fn apply_response(&self, host: &HostId, response: &DutyResponse) {
        let now = self.state.now();
        self.duties.record_contact(now);
        if let Some(unix_ms) = response.unix_ms {
            self.duties.adopt_time(now, Duration::from_millis(unix_ms));
        }
        if let Some(counts) = &response.counts {
            self.duties.merge(host, from_windows(&counts.windows));
            let complete_through = Duration::from_millis(counts.complete_through_ms);
            self.duties.record_mark(now, host.clone(), complete_through);
        }
        if let Some(summary) = response.summary.as_ref().and_then(SummaryMessage::summary) {
            self.duties.apply_summary(now, &summary);
        }
    }
}

/// Applies what a peer has sent, and responds to it.
pub(super) fn handle_duties(state: &GatewayState, request: &PeerRequest) -> Option<DutyResponse> {
    let (duties, received) = (state.duties.as_ref()?, request.duties.as_ref()?);
    let Ok(host) = request.host.parse::<HostId>() else {
        log::warn!(host = request.host; "ignoring usage from a peer with an invalid host name");
        return None;
    };
    let now = state.now();
    let is_relay = state.peers.lock().relays().contains(&host);
    duties.merge(&host, from_windows(&received.windows));
    let complete_through = Duration::from_millis(received.complete_through_ms);
    duties.record_mark(now, host.clone(), complete_through);
    duties.record_peer_time(now, host.clone(), Duration::from_millis(received.unix_ms));
    if let Some(summary) = received.summary.as_ref().and_then(SummaryMessage::summary) {
        duties.apply_summary(now, &summary);
    }
    let known = received.known.map(|known| known.order());
    let summary = duties.summary().map(|summary| SummaryMessage::of(&summary));
    Some(DutyResponse {
        unix_ms: (!is_relay).then(|| unix_ms(duties.unix(now))),
        summary: summary.filter(|own| own.known.map(|own| own.order()) > known),
        counts: received.counts_after.map(|after| counts_after(duties, now, after, host)),
    })
}

/// All that has changed after a revision, but what the requester itself has sent.
fn counts_after(duties: &Duties, now: MonoTime, after: u64, requester: HostId) -> CountsMessage {
    let excluded = [requester];
    let complete_through_ms = unix_ms(duties.complete_through(now, &excluded));
    let (updates, revision) = duties.changes(after, &excluded);
    CountsMessage { windows: to_windows(updates), revision, complete_through_ms }
}

fn to_windows(updates: Vec<UsageUpdate>) -> Vec<WindowMessage> {
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
fn from_windows(windows: &[WindowMessage]) -> impl Iterator<Item = UsageUpdate> {
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

fn unix_ms(unix: Duration) -> u64 {
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
