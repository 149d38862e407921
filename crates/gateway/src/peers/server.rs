//! Answering other entries.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use prost::Message;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::baselines::local_baselines;
use super::connection::PeerError;
use super::connection::framed;
use super::connection::send;
use super::crashes::all_crashes;
use super::crashes::apply_crashes;
use super::crashes::local_crashes;
use super::evidence::apply_sessions;
use super::evidence::pinned_sessions;
use super::health::apply_health;
use super::health::local_health;
use super::limits::all_limits;
use super::limits::apply_limits;
use super::limits::local_limits;
use super::messages::Evidence;
use super::messages::PeerRequest;
use super::messages::WorkMessage;
use super::messages::feed_of;
use super::poll_targets::follows_store;
use super::response::PeerResponse;
use super::rollout_decisions::apply_decisions;
use super::rollout_decisions::local_decisions;
use super::work::apply_work;
use super::work::fleet_work_for;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// The longest that a question may wait for changes.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A connection on which nothing is asked for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A copy is looked at again this much after its end: at its very end it is still fresh.
const FRESHNESS_SLACK: Duration = Duration::from_millis(5);

/// After a failed accept, for want of descriptors mostly, the next waits this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers other entries.
#[derive(Debug)]
pub(crate) struct PeerServer {
    addr: SocketAddr,
    _accepting: JoinSet<()>,
}

impl PeerServer {
    /// Starts listening.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub(crate) async fn start(addr: SocketAddr, state: Arc<GatewayState>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let mut accepting = JoinSet::new();
        accepting.spawn(accept(listener, state));
        Ok(Self { addr, _accepting: accepting })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Accepts connections for ever. When this is dropped, all of them are closed.
async fn accept(listener: TcpListener, state: Arc<GatewayState>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Arc::clone(&state);
                connections.spawn(async move {
                    if let Err(error) = serve(state, stream).await {
                        log::debug!(peer:% = peer, error:% = error; "an entry's connection ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "an entry's connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(state: Arc<GatewayState>, stream: TcpStream) -> Result<(), PeerError> {
    let mut messages = framed(stream)?;
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, messages.next()).await;
        let Some(frame) = next.map_err(|_| PeerError::TimedOut)? else {
            return Ok(());
        };
        let request = PeerRequest::decode(frame?)?;
        let response = response(&state, request).await;
        send(&mut messages, &response).await?;
    }
}

async fn response(state: &GatewayState, request: PeerRequest) -> PeerResponse {
    for evidence in &request.evidence {
        apply_evidence(state, &request.host, evidence);
    }
    apply_sessions(state, &request.sessions);
    apply_decisions(state, &request.verdicts);
    apply_health(state, &request.standings);
    apply_crashes(state, &request.ends);
    apply_limits(state, &request.limits);
    let work = exchange_work(state, &request);
    let times = local_baselines(state, request.needs_baselines);
    // What is told here asks for no feed.
    let Some(feed) = feed_of(request.feed) else {
        let (verdicts, standings) = (local_decisions(state), local_health(state));
        let ends = local_crashes(state);
        let limits = if request.is_starting { all_limits(state) } else { local_limits(state) };
        return PeerResponse {
            work,
            verdicts,
            standings,
            times,
            ends,
            limits,
            ..PeerResponse::default()
        };
    };
    let now = state.now();
    if request.accepts_stale {
        let known = state.feed_cache.last_known(now, feed);
        let mut response = known.map_or_else(PeerResponse::default, PeerResponse::of);
        response.pack(feed, &request, &state.feed_cache);
        return response;
    }
    state.feed_cache.record_poll(now);
    let until = now.after(Duration::from_millis(request.wait_ms).min(MAX_WAIT));
    let after = request
        .after
        .map(|number| StoreVersion { era: requested_era(state, feed, &request), number });
    let mut response = page(state, feed, after, until).await;
    response.pack(feed, &request, &state.feed_cache);
    match feed {
        Feed::Rollouts => {
            PeerResponse { sessions: pinned_sessions(state, SessionScope::All), times, ..response }
        }
        Feed::FatalRequests if request.after.is_none() => {
            PeerResponse { ends: all_crashes(state), ..response }
        }
        _ => response,
    }
}

/// The store's era by which the one that asks knows a feed. One of a former version tells none, and is
/// taken to know the same as this entry.
fn requested_era(state: &GatewayState, feed: Feed, request: &PeerRequest) -> StoreEra {
    request.store_era.map_or_else(|| state.feed_cache.era(feed), StoreEra)
}

/// Waits until there is something to say.
async fn page(
    state: &GatewayState,
    feed: Feed,
    after: Option<StoreVersion>,
    until: MonoTime,
) -> PeerResponse {
    loop {
        let changed = state.feed_cache.changed();
        let now = state.now();
        match state.feed_cache.page(now, feed, after) {
            None if is_being_read(state, feed, now) && now < until => {}
            None => return PeerResponse::default(),
            Some(Err(ControlStoreError::HistoryGone)) => {
                return PeerResponse {
                    has_copy: true,
                    history_gone: true,
                    ..PeerResponse::default()
                };
            }
            Some(Err(error)) => {
                log::error!(feed:? = feed, error:% = error; "a copy cannot be read");
                return PeerResponse::default();
            }
            Some(Ok(page)) if !page.rows.is_empty() || after.is_none() || now >= until => {
                return PeerResponse::of(page);
            }
            Some(Ok(_)) => {}
        }
        // When the copy is no longer fresh, the one that asks is told so at once: it would
        // learn of a change a whole wait too late otherwise.
        let fresh_until =
            state.feed_cache.fresh_until(feed).filter(|fresh_until| now <= *fresh_until);
        let wait = fresh_until.map_or(until, |fresh_until| until.min(fresh_until)).since(now);
        let wait = wait + FRESHNESS_SLACK;
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Whether a copy that is not fresh is about to be.
///
/// The records of roll-outs are followed only once there is an order, which those that ask learn
/// from here, some milliseconds later. With "no fresh copy" for an answer, 12 of 21 entries asked
/// the store for the first 8 s of each roll-out, and told nobody meanwhile which sessions stay
/// and what they had counted. And an entry that follows the store and has just started reads
/// everything, or takes the place of a seed: when all start together, those that ask it would ask
/// the store instead.
fn is_being_read(state: &GatewayState, feed: Feed, now: MonoTime) -> bool {
    let is_fresh = |feed| state.feed_cache.fresh_until(feed).is_some_and(|until| now <= until);
    let will_follow_store = !state.feed_cache.is_from_store(feed) && follows_store(state);
    let is_expected = matches!(feed, Feed::Rollouts | Feed::FatalRequests);
    will_follow_store || (is_expected && is_fresh(Feed::Operators))
}

/// Takes in the work that an entry tells, and gives that of the others.
fn exchange_work(state: &GatewayState, request: &PeerRequest) -> Option<WorkMessage> {
    let news = request.work.as_ref()?;
    match request.host.parse::<HostId>() {
        Ok(host) => {
            let response = fleet_work_for(state, &host);
            apply_work(state, host, Some(news));
            response
        }
        Err(error) => {
            log::warn!(host = request.host, error:% = error; "work of no host ignored");
            None
        }
    }
}

fn apply_evidence(state: &GatewayState, host: &str, evidence: &Evidence) {
    let (Ok(host), Ok(service)) = (host.parse(), evidence.service.parse()) else {
        log::warn!(host, service = evidence.service; "evidence of no host or service ignored");
        return;
    };
    let order = StoreVersion::of(evidence.order_version);
    state.rollouts.lock().peer_evidence(host, &service, order, evidence.totals());
}
