//! Exchanges with peers the work in progress at each upstream.
//!
//! A gateway that knows only its own work takes an upstream for idle that others keep busy. The
//! relays exchange the work of their groups; each other gateway belongs to the group of the relay
//! that it polls, sends it its own work and receives that of all others. Traffic per gateway thus
//! grows with the number of upstreams that have work, not with the number of gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::WorkByUpstream;
use stallhoist_policy::balance::WorkInProgress;

use super::client::PeerClient;
use super::crashes::apply_crashes;
use super::crashes::local_crashes;
use super::health::apply_health;
use super::health::local_health;
use super::limits::apply_limits;
use super::limits::local_limits;
use super::messages::PeerRequest;
use super::messages::UpstreamWork;
use super::messages::WorkMessage;
use super::rollout_decisions::apply_decisions;
use super::rollout_decisions::local_decisions;
use crate::state::GatewayState;

/// Interval between two updates. 50 ms gave the same result with faults (0.705 and 0.704).
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before an update that reports a terminated upstream, so that those found together are sent
/// together.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// A peer that has not responded within the timeout is skipped for a while, as older data is of no
/// use.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
const SKIP_FOR: Duration = Duration::from_secs(2);

/// Maximum traffic of one gateway for these updates: the more upstreams have work, the less often
/// they are sent.
const MAX_BYTES_PER_S: usize = 4_000;

/// Approximate size of one upstream in a message.
const BYTES_PER_UPSTREAM: usize = 18;

/// Sends this gateway's work to peers, forever.
pub(crate) async fn publish_work(state: Arc<GatewayState>) {
    let mut publisher = WorkPublisher {
        state,
        client: PeerClient::new(RESPONSE_TIMEOUT),
        skipped_until: HashMap::new(),
    };
    let mut pause = PUBLISH_INTERVAL;
    loop {
        wait_or_urgent(&publisher.state, pause).await;
        pause = publish_interval(publisher.publish().await);
    }
}

/// Waits for the interval, or less if an upstream was found terminated or crashed during a request:
/// until peers know, each of them finds out with a caller's request.
async fn wait_or_urgent(state: &GatewayState, pause: Duration) {
    let urgent = async {
        tokio::select! {
            () = state.upstreams.termination_found() => {}
            () = state.fatal.updates_available() => {}
        }
        tokio::time::sleep(URGENT_DELAY).await;
    };
    let _ = tokio::time::timeout(pause, urgent).await;
}

/// State of the task that sends updates.
#[derive(Debug)]
struct WorkPublisher {
    state: Arc<GatewayState>,
    client: PeerClient,
    /// Peers that did not respond.
    skipped_until: HashMap<SocketAddr, MonoTime>,
}

impl WorkPublisher {
    /// Sends one update to each target. Returns the number of items sent and received.
    async fn publish(&mut self) -> usize {
        let now = self.state.now();
        self.state.upstreams.expire_fleet_work(now);
        self.skipped_until.retain(|_, until| now < *until);
        let work = group_work(&self.state);
        let request = PeerRequest {
            host: self.state.settings.host.id.to_string(),
            work: Some(WorkMessage::of(&work)),
            rollout_decisions: local_decisions(&self.state),
            health: local_health(&self.state),
            ends: local_crashes(&self.state),
            limits: local_limits(&self.state),
            ..PeerRequest::default()
        };
        let mut items = 0;
        for (host, addr) in self.push_targets() {
            items += work.len() + request.limits.len() + self.send_to(host, addr, &request).await;
        }
        items
    }

    /// The peers to update: the other relays if this gateway is a relay, else the first poll target
    /// that responds. With the first target only, a gateway whose relay had gone sent and received
    /// no updates for as long as that relay was listed.
    fn push_targets(&self) -> Vec<(HostId, SocketAddr)> {
        let peers = self.state.peers.lock();
        let is_responsive =
            |(_, addr): &(HostId, SocketAddr)| !self.skipped_until.contains_key(addr);
        let relays = peers.other_relays();
        if relays.is_empty() {
            return peers.poll_targets().into_iter().filter(is_responsive).take(1).collect();
        }
        relays.into_iter().filter(is_responsive).collect()
    }

    /// Sends an update to one peer and merges its response. Returns the number of items in the
    /// response.
    async fn send_to(&mut self, host: HostId, addr: SocketAddr, request: &PeerRequest) -> usize {
        match self.client.send(addr, request).await {
            Ok(response) => {
                apply_work(&self.state, host, response.work.as_ref());
                apply_decisions(&self.state, &response.rollout_decisions);
                apply_health(&self.state, &response.health);
                apply_crashes(&self.state, &response.ends);
                apply_limits(&self.state, &response.limits);
                response.work.map_or(0, |work| work.upstreams.len())
            }
            Err(error) => {
                log::debug!(
                    addr:% = addr,
                    error:% = error;
                    "failed to send work in progress to a peer"
                );
                self.skipped_until.insert(addr, self.state.now().after(SKIP_FOR));
                0
            }
        }
    }
}

/// The interval after an update of this many items.
fn publish_interval(items: usize) -> Duration {
    let bytes = items * BYTES_PER_UPSTREAM;
    let allowed = Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_S as f64);
    allowed.max(PUBLISH_INTERVAL)
}

/// The work of this gateway and of its group.
fn group_work(state: &GatewayState) -> WorkByUpstream {
    let relays: Vec<HostId> = state.peers.lock().relays();
    state.upstreams.work(|host| !relays.contains(host))
}

/// The work of all other gateways, for a requester in this gateway's group. Another relay receives
/// it from this gateway's own updates.
pub(super) fn fleet_work_for(state: &GatewayState, host: &HostId) -> Option<WorkMessage> {
    if state.peers.lock().relays().contains(host) {
        return None;
    }
    Some(WorkMessage::of(&state.upstreams.work(|other| other != host)))
}

/// Merges the work received from a peer.
pub(super) fn apply_work(state: &GatewayState, host: HostId, work: Option<&WorkMessage>) {
    if let Some(work) = work {
        state.upstreams.apply_fleet_work(state.now(), host, work.work());
    }
}

impl WorkMessage {
    fn of(work: &WorkByUpstream) -> Self {
        let to_message = |(key, work): (&UpstreamKey, &WorkInProgress)| UpstreamWork {
            upstream: key.0,
            requests: work.requests,
            prefill_ms: work.prefill_ms,
        };
        Self { upstreams: work.iter().map(to_message).collect() }
    }

    fn work(&self) -> impl Iterator<Item = (UpstreamKey, WorkInProgress)> {
        self.upstreams.iter().map(|upstream| {
            let work =
                WorkInProgress { requests: upstream.requests, prefill_ms: upstream.prefill_ms };
            (UpstreamKey(upstream.upstream), work)
        })
    }
}
