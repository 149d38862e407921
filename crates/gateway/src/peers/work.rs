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
use stallhoist_policy::balance::SpeedEvidence;
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
use super::push_targets::PushTargets;
use super::rollout_decisions::apply_decisions;
use super::rollout_decisions::local_decisions;
use crate::state::GatewayState;

/// Interval between two updates. 50 ms gave the same result with faults (0.705 and 0.704).
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before an update that reports a terminated upstream, so that those found together are sent
/// together.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum traffic of one gateway for these updates: the more upstreams have work, the less often
/// they are sent.
const MAX_BYTES_PER_S: usize = 4_000;

/// Approximate size of one upstream in a message.
const BYTES_PER_UPSTREAM: usize = 22;

/// Sends this gateway's work to peers, forever.
pub(crate) async fn publish_work(state: Arc<GatewayState>) {
    let client = PeerClient::new(RESPONSE_TIMEOUT);
    let mut publisher = WorkPublisher { state, client, targets: PushTargets::default() };
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
    targets: PushTargets,
}

impl WorkPublisher {
    /// Sends one update to each target. Returns the number of items sent and received.
    async fn publish(&mut self) -> usize {
        let now = self.state.now();
        self.state.upstreams.expire_fleet_work(now);
        let work = group_work(&self.state);
        self.state.upstreams.record_work_told();
        let sent_items = work.upstreams.len();
        let crashes = local_crashes(&self.state);
        let request = PeerRequest {
            host: self.state.settings.host.id.to_string(),
            work: Some(work),
            rollout_decisions: local_decisions(&self.state),
            health: local_health(&self.state),
            ends: crashes.of_requests,
            part_ends: crashes.of_parts,
            limits: local_limits(&self.state),
            ..PeerRequest::default()
        };
        let mut items = 0;
        let targets = self.targets.select(now, &self.state.peers.lock());
        for (host, addr) in targets {
            items += sent_items + request.limits.len() + self.send_to(host, addr, &request).await;
        }
        items
    }

    /// Sends an update to one peer and merges its response. Returns the number of items in the
    /// response.
    async fn send_to(&mut self, host: HostId, addr: SocketAddr, request: &PeerRequest) -> usize {
        match self.client.send(addr, request).await {
            Ok(response) => {
                apply_work(&self.state, host, response.work.as_ref());
                apply_decisions(&self.state, &response.rollout_decisions);
                apply_health(&self.state, &response.health);
                apply_crashes(&self.state, &response.ends, &response.part_ends);
                apply_limits(&self.state, &response.limits);
                response.work.map_or(0, |work| work.upstreams.len())
            }
            Err(error) => {
                log::debug!(
                    addr:% = addr,
                    error:% = error;
                    "failed to send work in progress to a peer"
                );
                self.targets.skip(self.state.now(), addr);
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
fn group_work(state: &GatewayState) -> WorkMessage {
    let relays: Vec<HostId> = state.peers.lock().relays();
    work_of(state, |host| !relays.contains(host))
}

/// The work of all other gateways, for a requester in this gateway's group. Another relay receives
/// it from this gateway's own updates.
pub(super) fn fleet_work_for(state: &GatewayState, host: &HostId) -> Option<WorkMessage> {
    if state.peers.lock().relays().contains(host) {
        return None;
    }
    Some(work_of(state, |other| other != host))
}

/// The work of this gateway and of those that `included` accepts, and the speeds of some upstreams.
fn work_of(state: &GatewayState, included: impl Fn(&HostId) -> bool) -> WorkMessage {
    let work = state.upstreams.work(&included);
    let speeds = state.upstreams.speed_sums(state.now(), &included);
    WorkMessage::of(&work, speeds)
}

/// Merges the work received from a peer.
pub(super) fn apply_work(state: &GatewayState, host: HostId, work: Option<&WorkMessage>) {
    if let Some(work) = work {
        let now = state.now();
        state.upstreams.apply_speed_sums(now, &host, work.speeds());
        state.upstreams.apply_fleet_work(now, host, work.work());
    }
}

impl WorkMessage {
    fn of(work: &WorkByUpstream, mut speeds: HashMap<UpstreamKey, SpeedEvidence>) -> Self {
        let mut upstreams = Vec::with_capacity(work.len() + speeds.len());
        for (key, work) in work {
            let speed = speeds.remove(key).unwrap_or_default();
            upstreams.push(UpstreamWork::of(*key, *work, speed));
        }
        let idle = WorkInProgress::default();
        upstreams.extend(speeds.into_iter().map(|(key, speed)| UpstreamWork::of(key, idle, speed)));
        Self { upstreams }
    }

    /// The upstreams that have work.
    fn work(&self) -> impl Iterator<Item = (UpstreamKey, WorkInProgress)> {
        let work = self.upstreams.iter().map(|upstream| {
            let work = WorkInProgress {
                requests: upstream.requests,
                prefill_ms: upstream.prefill_ms,
                engine_ms: upstream.engine_ms,
            };
            (UpstreamKey(upstream.upstream), work)
        });
        work.filter(|(_, work)| *work != WorkInProgress::default())
    }

    /// Evidence of the speed of the upstreams for which this message tells it.
    fn speeds(&self) -> impl Iterator<Item = (UpstreamKey, SpeedEvidence)> {
        let speeds = self.upstreams.iter().map(|upstream| {
            let UpstreamWork { speed_weight: weight, speed_log_milli: log_milli, .. } = *upstream;
            (UpstreamKey(upstream.upstream), SpeedEvidence { weight, log_milli })
        });
        speeds.filter(|(_, speed)| !speed.is_empty())
    }
}

impl UpstreamWork {
    fn of(key: UpstreamKey, work: WorkInProgress, speed: SpeedEvidence) -> Self {
        Self {
            upstream: key.0,
            requests: work.requests,
            prefill_ms: work.prefill_ms,
            engine_ms: work.engine_ms,
            speed_weight: speed.weight,
            speed_log_milli: speed.log_milli,
        }
    }
}
