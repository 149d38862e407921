//! Telling other entries what work is in progress on which upstream.
//!
//! An entry that knows its own work alone takes an upstream for free that others keep busy.
//! The entries that follow the store tell each other the work of their groups; each other
//! entry belongs to the group of the one that it asks for news, tells it its own work and is
//! answered with the work of all others. What an entry sends and gets does so not grow with
//! the number of entries, only with that of upstreams with work.

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

/// How often it is told. With 50 ms the worth of days with faults was the same (0.705 and 0.704).
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// When an upstream was found to be gone: those that are found together are told together.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// An entry that has not answered by then is told nothing for a while: older news is of no use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const SKIP_FOR: Duration = Duration::from_secs(2);

/// What an entry may send and be answered in a second for this: the more upstreams have work,
/// the less often it is told.
const MAX_BYTES_PER_S: usize = 4_000;

/// Bytes that one upstream takes in a message, about.
const BYTES_PER_UPSTREAM: usize = 18;

/// Tells others of this entry's work, for ever.
pub(crate) async fn publish_work(state: Arc<GatewayState>) {
    let mut telling = WorkPublisher {
        state,
        client: PeerClient::new(ANSWER_TIMEOUT),
        skipped_until: HashMap::new(),
    };
    let mut pause = PUBLISH_INTERVAL;
    loop {
        wait_or_urgent(&telling.state, pause).await;
        pause = publish_interval(telling.publish().await);
    }
}

/// Waits, but not for the whole pause when an upstream was found to be gone, or to have ended while it ran
/// a request: until the others know, they find it out one by one, each by a caller's request.
async fn wait_or_urgent(state: &GatewayState, pause: Duration) {
    let urgent = async {
        tokio::select! {
            () = state.upstreams.found_over() => {}
            () = state.fatal.has_news() => {}
        }
        tokio::time::sleep(URGENT_DELAY).await;
    };
    let _ = tokio::time::timeout(pause, urgent).await;
}

/// What the task that tells others keeps.
#[derive(Debug)]
struct WorkPublisher {
    state: Arc<GatewayState>,
    client: PeerClient,
    /// Entries that did not answer.
    skipped_until: HashMap<SocketAddr, MonoTime>,
}

impl WorkPublisher {
    /// Tells each of those to be told once. Gives how many items were sent and received.
    async fn publish(&mut self) -> usize {
        let now = self.state.now();
        self.state.upstreams.expire_fleet_work(now);
        self.skipped_until.retain(|_, until| now < *until);
        let news = group_work(&self.state);
        let request = PeerRequest {
            host: self.state.settings.host.id.to_string(),
            work: Some(WorkMessage::of(&news)),
            verdicts: local_decisions(&self.state),
            standings: local_health(&self.state),
            ends: local_crashes(&self.state),
            limits: local_limits(&self.state),
            ..PeerRequest::default()
        };
        let mut items = 0;
        for (host, addr) in self.push_targets() {
            items += news.len() + request.limits.len() + self.tell(host, addr, &request).await;
        }
        items
    }

    /// Whom this entry tells: the others that follow the store if it does so itself, else the first
    /// of those it asks that answers. With the very first one only, an entry whose relay was gone told
    /// nobody, and was told nothing, for as long as that one stayed listed.
    fn push_targets(&self) -> Vec<(HostId, SocketAddr)> {
        let peers = self.state.peers.lock();
        let answers = |(_, addr): &(HostId, SocketAddr)| !self.skipped_until.contains_key(addr);
        let relays = peers.other_relays();
        if relays.is_empty() {
            return peers.poll_targets().into_iter().filter(answers).take(1).collect();
        }
        relays.into_iter().filter(answers).collect()
    }

    /// Tells one entry, and takes in its answer. Gives how many items that had.
    async fn tell(&mut self, host: HostId, addr: SocketAddr, request: &PeerRequest) -> usize {
        match self.client.tell(addr, request).await {
            Ok(response) => {
                apply_work(&self.state, host, response.work.as_ref());
                apply_decisions(&self.state, &response.verdicts);
                apply_health(&self.state, &response.standings);
                apply_crashes(&self.state, &response.ends);
                apply_limits(&self.state, &response.limits);
                response.work.map_or(0, |work| work.on.len())
            }
            Err(error) => {
                log::debug!(addr:% = addr, error:% = error; "work not told");
                self.skipped_until.insert(addr, self.state.now().after(SKIP_FOR));
                0
            }
        }
    }
}

/// The pause after so many items were sent and received.
fn publish_interval(items: usize) -> Duration {
    let bytes = items * BYTES_PER_UPSTREAM;
    let allowed = Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_S as f64);
    allowed.max(PUBLISH_INTERVAL)
}

/// The work of this entry and of those whose group it keeps.
fn group_work(state: &GatewayState) -> WorkByUpstream {
    let relays: Vec<HostId> = state.peers.lock().relays();
    state.upstreams.work(|host| !relays.contains(host))
}

/// What an entry is answered that has told its work: that of all others, if it is in this
/// entry's group. One that follows the store itself is told by this entry anyway.
pub(super) fn fleet_work_for(state: &GatewayState, host: &HostId) -> Option<WorkMessage> {
    if state.peers.lock().relays().contains(host) {
        return None;
    }
    Some(WorkMessage::of(&state.upstreams.work(|other| other != host)))
}

/// Takes in the work that another entry tells.
pub(super) fn apply_work(state: &GatewayState, host: HostId, news: Option<&WorkMessage>) {
    if let Some(news) = news {
        state.upstreams.told_fleet_work(state.now(), host, news.work());
    }
}

impl WorkMessage {
    fn of(work: &WorkByUpstream) -> Self {
        let on = |(key, work): (&UpstreamKey, &WorkInProgress)| UpstreamWork {
            upstream: key.0,
            requests: work.requests,
            reading_ms: work.reading_ms,
        };
        Self { on: work.iter().map(on).collect() }
    }

    fn work(&self) -> impl Iterator<Item = (UpstreamKey, WorkInProgress)> {
        self.on.iter().map(|on| {
            let work = WorkInProgress { requests: on.requests, reading_ms: on.reading_ms };
            (UpstreamKey(on.upstream), work)
        })
    }
}
