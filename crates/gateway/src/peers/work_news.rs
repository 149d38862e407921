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

use super::ends::own_ends;
use super::ends::take_ends;
use super::limits::own_limits;
use super::limits::take_limits;
use super::messages::Ask;
use super::messages::WorkNews;
use super::messages::WorkOn;
use super::standings::own_standings;
use super::standings::take_standings;
use super::teller::Teller;
use super::verdicts::own_verdicts;
use super::verdicts::take_verdicts;
use crate::state::GatewayState;

/// How often it is told. With 50 ms the worth of days with faults was the same (0.705 and 0.704).
const TELL_EVERY: Duration = Duration::from_millis(200);

/// When an upstream was found to be gone: those that are found together are told together.
const URGENT_AFTER: Duration = Duration::from_millis(20);

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
    let mut telling =
        WorkTelling { state, teller: Teller::new(ANSWER_TIMEOUT), skipped_until: HashMap::new() };
    let mut pause = TELL_EVERY;
    loop {
        pause_or_urgent(&telling.state, pause).await;
        pause = pause_after(telling.tell_all().await);
    }
}

/// Waits, but not for the whole pause when an upstream was found to be gone, or to have ended while it ran
/// a request: until the others know, they find it out one by one, each by a caller's request.
async fn pause_or_urgent(state: &GatewayState, pause: Duration) {
    let urgent = async {
        tokio::select! {
            () = state.upstreams.found_over() => {}
            () = state.fatal.has_news() => {}
        }
        tokio::time::sleep(URGENT_AFTER).await;
    };
    let _ = tokio::time::timeout(pause, urgent).await;
}

/// What the task that tells others keeps.
#[derive(Debug)]
struct WorkTelling {
    state: Arc<GatewayState>,
    teller: Teller,
    /// Entries that did not answer.
    skipped_until: HashMap<SocketAddr, MonoTime>,
}

impl WorkTelling {
    /// Tells each of those to be told once. Gives how many items were sent and received.
    async fn tell_all(&mut self) -> usize {
        let now = self.state.now();
        self.state.upstreams.expire_fleet_work(now);
        self.skipped_until.retain(|_, until| now < *until);
        let news = group_work(&self.state);
        let ask = Ask {
            host: self.state.settings.host.id.to_string(),
            work: Some(WorkNews::of(&news)),
            verdicts: own_verdicts(&self.state),
            standings: own_standings(&self.state),
            ends: own_ends(&self.state),
            limits: own_limits(&self.state),
            ..Ask::default()
        };
        let mut items = 0;
        for (host, addr) in self.push_targets() {
            items += news.len() + ask.limits.len() + self.tell(host, addr, &ask).await;
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
    async fn tell(&mut self, host: HostId, addr: SocketAddr, ask: &Ask) -> usize {
        match self.teller.tell(addr, ask).await {
            Ok(answer) => {
                take_work(&self.state, host, answer.work.as_ref());
                take_verdicts(&self.state, &answer.verdicts);
                take_standings(&self.state, &answer.standings);
                take_ends(&self.state, &answer.ends);
                take_limits(&self.state, &answer.limits);
                answer.work.map_or(0, |work| work.on.len())
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
fn pause_after(items: usize) -> Duration {
    let bytes = items * BYTES_PER_UPSTREAM;
    let allowed = Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_S as f64);
    allowed.max(TELL_EVERY)
}

/// The work of this entry and of those whose group it keeps.
fn group_work(state: &GatewayState) -> WorkByUpstream {
    let relays: Vec<HostId> = state.peers.lock().relays();
    state.upstreams.work(|host| !relays.contains(host))
}

/// What an entry is answered that has told its work: that of all others, if it is in this
/// entry's group. One that follows the store itself is told by this entry anyway.
pub(super) fn answer_to(state: &GatewayState, host: &HostId) -> Option<WorkNews> {
    if state.peers.lock().relays().contains(host) {
        return None;
    }
    Some(WorkNews::of(&state.upstreams.work(|other| other != host)))
}

/// Takes in the work that another entry tells.
pub(super) fn take_work(state: &GatewayState, host: HostId, news: Option<&WorkNews>) {
    if let Some(news) = news {
        state.upstreams.told_fleet_work(state.now(), host, news.work());
    }
}

impl WorkNews {
    fn of(work: &WorkByUpstream) -> Self {
        let on = |(key, work): (&UpstreamKey, &WorkInProgress)| WorkOn {
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
