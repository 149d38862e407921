//! Serves requests of peers.

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
use super::duties::handle_duties;
use super::evidence::apply_sessions;
use super::evidence::pinned_sessions;
use super::evidence_message::Evidence;
use super::health::apply_health;
use super::health::local_health;
use super::limits::all_limits;
use super::limits::apply_limits;
use super::limits::local_limits;
use super::listing::handle_listing;
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

/// Maximum wait for changes that a request may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after the end of a copy's freshness before it is checked again: at the exact end it still
/// counts as fresh.
const FRESHNESS_SLACK: Duration = Duration::from_millis(5);

/// Pause after a failed accept, mostly for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves requests of peers.
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

    /// The address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Accepts connections forever. All of them are closed when the task is dropped.
async fn accept(listener: TcpListener, state: Arc<GatewayState>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Arc::clone(&state);
                connections.spawn(async move {
                    if let Err(error) = serve(state, stream).await {
                        log::debug!(peer:% = peer, error:% = error; "connection to a peer failed");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection of a peer");
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
        let response = handle_request(&state, request).await;
        send(&mut messages, &response).await?;
    }
}

async fn handle_request(state: &GatewayState, request: PeerRequest) -> PeerResponse {
    for evidence in &request.evidence {
        apply_evidence(state, &request.host, evidence);
    }
    apply_sessions(state, &request.sessions);
    apply_decisions(state, &request.rollout_decisions);
    apply_health(state, &request.health);
    apply_crashes(state, &request.ends, &request.part_ends);
    apply_limits(state, &request.limits);
    let work = exchange_work(state, &request);
    let baselines = local_baselines(state, request.needs_baselines);
    let duties = handle_duties(state, &request);
    // A request without a feed only exchanges state.
    let Some(feed) = feed_of(request.feed) else {
        let (rollout_decisions, health) = (local_decisions(state), local_health(state));
        let crashes = local_crashes(state);
        let limits = if request.is_starting { all_limits(state) } else { local_limits(state) };
        return PeerResponse {
            work,
            rollout_decisions,
            health,
            baselines,
            ends: crashes.of_requests,
            part_ends: crashes.of_parts,
            limits,
            duties,
            is_listing: handle_listing(state, &request),
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
    response.is_leaving = state.is_leaving();
    match feed {
        Feed::Rollouts => PeerResponse {
            sessions: pinned_sessions(state, SessionScope::All),
            baselines,
            ..response
        },
        Feed::FatalRequests if request.after.is_none() => {
            let crashes = all_crashes(state);
            let (ends, part_ends) = (crashes.of_requests, crashes.of_parts);
            PeerResponse { ends, part_ends, ..response }
        }
        _ => response,
    }
}

/// The store era by which the requester knows a feed. A request without one, from an older release,
/// is taken to know the local era.
fn requested_era(state: &GatewayState, feed: Feed, request: &PeerRequest) -> StoreEra {
    request.store_era.map_or_else(|| state.feed_cache.era(feed), StoreEra)
}

/// Waits until the feed has changes, its copy is stale, this gateway is about to stop, or `until` has passed.
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
                log::error!(feed:? = feed, error:% = error; "failed to read the cached feed");
                return PeerResponse::default();
            }
            Some(Ok(page)) => {
                let is_due = after.is_none() || now >= until || state.is_leaving();
                if is_due || !page.rows.is_empty() {
                    return PeerResponse::of(page);
                }
            }
        }
        // The requester learns at once that the copy is stale; otherwise it would notice a change a
        // whole wait too late.
        let fresh_until =
            state.feed_cache.fresh_until(feed).filter(|fresh_until| now <= *fresh_until);
        let wait = fresh_until.map_or(until, |fresh_until| until.min(fresh_until)).since(now);
        let wait = wait + FRESHNESS_SLACK;
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Whether a missing or stale copy is about to be refreshed.
///
/// Rollout records are followed only once there is an order, which the pollers also learn from this
/// gateway, some milliseconds later. When they were told that there is no fresh copy, 12 of 21
/// gateways queried the store for the first 8 s of each rollout, and meanwhile sent no peer their
/// sessions and evidence. A relay that has just started reads everything, or serves as a seed: when
/// the fleet starts together, its pollers would query the store instead.
fn is_being_read(state: &GatewayState, feed: Feed, now: MonoTime) -> bool {
    let is_fresh = |feed| state.feed_cache.fresh_until(feed).is_some_and(|until| now <= until);
    let will_follow_store = !state.feed_cache.is_from_store(feed) && follows_store(state);
    let is_expected = matches!(feed, Feed::Rollouts | Feed::FatalRequests);
    will_follow_store || (is_expected && is_fresh(Feed::Operators))
}

/// Merges the work that a peer sent, and returns that of the other gateways.
fn exchange_work(state: &GatewayState, request: &PeerRequest) -> Option<WorkMessage> {
    let work = request.work.as_ref()?;
    match request.host.parse::<HostId>() {
        Ok(host) => {
            let response = fleet_work_for(state, &host);
            apply_work(state, host, Some(work));
            response
        }
        Err(error) => {
            log::warn!(
                host = request.host,
                error:% = error;
                "ignoring work in progress with an invalid host name"
            );
            None
        }
    }
}

fn apply_evidence(state: &GatewayState, host: &str, evidence: &Evidence) {
    match evidence.report(host) {
        Ok((report, path)) => state.rollouts.lock().apply_peer_evidence(&report, path),
        Err(error) => log::warn!(
            host,
            service = evidence.service,
            error:% = error;
            "ignoring evidence with an invalid host or service name"
        ),
    }
}
