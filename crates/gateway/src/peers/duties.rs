//! Exchanges with peers what concerns the duties: the counts of usage, the time of day and the state of the duty.
//!
//! Counts go the way of the work in progress: each gateway sends its own to a relay, the relays send those of their
//! groups to each other, so that any relay can continue the duty. Only what has changed since the peer's last
//! response is sent. A peer that did not respond gets everything again, as it may have been restarted. A holder that
//! is not a relay requests the counts of the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

use super::client::PeerClient;
use super::duty_messages::CountsMessage;
use super::duty_messages::DutyRequest;
use super::duty_messages::DutyResponse;
use super::duty_messages::KnownMessage;
use super::duty_messages::SummaryMessage;
use super::duty_messages::from_windows;
use super::duty_messages::to_windows;
use super::messages::PeerRequest;
use super::push_targets::PushTargets;
use crate::duties::Duties;
use crate::state::GatewayState;

/// Interval between two exchanges: the counts since the last one are lost with a process that is killed.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

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

fn unix_ms(unix: Duration) -> u64 {
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
