//! The control store as a gateway of a large fleet uses it: through a peer that has fresh data,
//! else directly.
//!
//! `control_store` has the calls; this module selects the peer, or the store, that answers.

mod control_store;
mod follow_store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::peers::baselines::apply_baselines;
use crate::peers::connection::Connection;
use crate::peers::connection::PeerError;
use crate::peers::connection::connect;
use crate::peers::connection::exchange;
use crate::peers::crashes::apply_crashes;
use crate::peers::evidence::apply_sessions;
use crate::peers::evidence::local_evidence;
use crate::peers::evidence::pinned_sessions;
use crate::peers::feed_cache::LIVENESS_FEED;
use crate::peers::feed_cache::Origin;
use crate::peers::messages::HeldRow;
use crate::peers::messages::PeerRequest;
use crate::peers::messages::feed_number;
use crate::peers::poll_targets::follows_store;
use crate::peers::poll_targets::is_starting;
use crate::peers::poll_targets::poll_targets;
use crate::peers::response::PeerResponse;
use crate::peers::route::Route;
use crate::peers::route::switch_pause;
use crate::peers::seeds::request_from_seeds;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// Time for a peer to start its response, beyond the requested wait.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// How long a poll waits for changes: short enough to detect a peer that is gone.
const PEER_WAIT: Duration = Duration::from_millis(1_000);

/// The same during a rollout: each poll carries evidence.
const ROLLOUT_WAIT: Duration = Duration::from_millis(500);

/// The same for the list of gateways, which has no freshness bound.
const ENTRIES_WAIT: Duration = Duration::from_secs(8);

/// Maximum of these waits while a fleet starts: a gateway notices only between two polls that it
/// has become a relay, and others wait for its data.
const START_WAIT: Duration = Duration::from_millis(400);

/// Wait requested by the first direct store call after data came from peers, which may have lost
/// the store. With a longer one, a silent store would be waited for until the call times out, and
/// its recovery noticed too late.
const FIRST_DIRECT_WAIT: Duration = Duration::from_millis(50);

/// A store that has not responded within this time at startup is taken to be unavailable. It takes
/// 4 ms when healthy.
const SEEDS_DELAY: Duration = Duration::from_millis(300);

/// How long the store is queried directly after no peer had fresh data.
const DIRECT_FOR: Duration = Duration::from_secs(8);

/// The same for a gateway that has just started, whose peers may have started with it, and if all peers
/// responded that their copies are stale: the store may have been away for the relays for a moment only.
const BRIEF_DIRECT_FOR: Duration = Duration::from_millis(1_000);

/// How long a request for a whole feed waits for a peer that is about to read it. A silent peer
/// delays the startup by this time, during which callers wait.
const WHOLE_WAIT: Duration = Duration::from_millis(400);
const WHOLE_RESPONSE_SLACK: Duration = Duration::from_millis(200);

/// How long a failure on the liveness feed counts for the others; it is retried more often.
const STORE_UNAVAILABLE_FOR: Duration = Duration::from_secs(2);

/// Longest follow call while peers poll this gateway, as older copies are of no use to them.
const FRESH_WAIT: Duration = Duration::from_millis(900);

/// Updates of at least this size are logged, so that slow transfers can be traced.
const LARGE_UPDATE_BYTES: usize = 32 << 10;

/// An unpacked response with its size on the wire.
#[derive(Debug)]
struct ReceivedResponse {
    response: PeerResponse,
    travelled_bytes: usize,
}

/// The control store, through a peer that has fresh data.
#[derive(Debug)]
pub(crate) struct RelayedStore<S> {
    pub(super) state: Arc<GatewayState>,
    store: Arc<S>,
    pub(super) routes: HashMap<Feed, Mutex<Route>>,
    /// When the store failed on the liveness feed, if it has not responded since.
    store_unavailable_since: parking_lot::Mutex<Option<MonoTime>>,
    /// Whether a peer's host has responded to a connection attempt, if only by refusing it.
    is_peer_responsive: AtomicBool,
}

impl<S: ControlStore> RelayedStore<S> {
    pub(crate) fn new(state: Arc<GatewayState>, store: Arc<S>) -> Self {
        let routes = Feed::ALL.into_iter().map(|feed| (feed, Mutex::default())).collect();
        Self {
            state,
            store,
            routes,
            store_unavailable_since: parking_lot::Mutex::default(),
            is_peer_responsive: AtomicBool::new(false),
        }
    }

    /// Whether a peer's host has responded to a connection attempt.
    pub(super) fn is_peer_responsive(&self) -> bool {
        self.is_peer_responsive.load(Ordering::SeqCst)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        let connected = connect(addr).await;
        if !matches!(connected, Err(PeerError::TimedOut)) {
            self.is_peer_responsive.store(true, Ordering::SeqCst);
        }
        connected
    }

    /// Requests a feed from the peers in turn; `None` when the store is to be queried.
    pub(super) async fn request_from_peers(
        &self,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let mut route = self.routes.get(&feed)?.lock().await;
        if self.state.now() < route.direct_until {
            return None;
        }
        let targets = poll_targets(&self.state);
        if targets.is_empty() {
            return None;
        }
        tokio::time::sleep(route.paused_until.since(self.state.now())).await;
        let mut is_any_lost = false;
        for addr in targets {
            if route.is_skipped(self.state.now(), addr) {
                continue;
            }
            if let Some(page) = self.fresh_page(&mut route, addr, feed, after).await {
                if let Ok(page) = &page {
                    self.cache_page(feed, page, after.is_none(), Origin::OtherEntry);
                }
                self.state.news_from.lock().insert(feed, Some(addr));
                return Some(page);
            }
            // The connection is kept only if the peer has responded.
            is_any_lost |= route.connection.is_none();
            route.skip(self.state.now(), addr);
        }
        log::info!(feed:? = feed; "no other entry has fresh news, asking the store");
        // Peers that respond, if only that their copies are stale, cost little to ask again.
        let is_brief = is_starting(&self.state) || !is_any_lost;
        let direct_for = if is_brief { BRIEF_DIRECT_FOR } else { DIRECT_FOR };
        route.direct_until = self.state.now().after(direct_for);
        route.skipped_until.clear();
        None
    }

    /// How long a poll of a feed waits for changes.
    fn wait_for(&self, feed: Feed) -> Duration {
        let wait = match feed {
            Feed::Operators | Feed::Members | Feed::FatalRequests => PEER_WAIT,
            Feed::Rollouts => ROLLOUT_WAIT,
            Feed::Entries => ENTRIES_WAIT,
        };
        if is_starting(&self.state) { wait.min(START_WAIT) } else { wait }
    }

    /// Reads a whole feed from the store, or from a seed, however old, if the store is unavailable.
    pub(super) async fn read_store(&self, feed: Feed) -> Result<FeedPage, ControlStoreError> {
        let mut reading = pin!(self.store.read(feed));
        let read = timeout(SEEDS_DELAY, reading.as_mut()).await;
        if !matches!(read, Ok(Ok(_)))
            && let Some(page) = request_from_seeds(&self.state, feed).await
        {
            self.cache_page(feed, &page, true, Origin::OtherEntry);
            return Ok(page);
        }
        let read = match read {
            Ok(read) => read,
            Err(_) => reading.await,
        };
        let page = self.record_store_result(feed, read).await?;
        self.cache_store_page(feed, &page, true);
        Ok(page)
    }

    /// Requests a feed from one peer; `None` if the peer does not respond or has no fresh copy.
    async fn fresh_page(
        &self,
        route: &mut Route,
        addr: SocketAddr,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let was_connected =
            route.connection.as_ref().is_some_and(|(connected, _)| *connected == addr);
        let result = self.request_from_peer(route, addr, feed, after).await;
        let is_leaving = result.as_ref().is_ok_and(|received| received.response.is_leaving);
        if is_leaving {
            route.leave(self.state.now(), addr, self.switch_pause());
        }
        let page = match result {
            Ok(received) if !received.response.has_copy => None,
            Ok(ReceivedResponse { response, travelled_bytes }) => {
                let page = response.into_page(self.state.feed_cache.era(feed));
                let bytes = page.as_ref().map_or(0, FeedPage::value_bytes);
                self.record_received(feed, Origin::OtherEntry, bytes, travelled_bytes);
                Some(page)
            }
            Err(error) => {
                log::info!(
                    feed:? = feed,
                    addr:% = addr,
                    error:% = error;
                    "an entry did not answer"
                );
                None
            }
        };
        if page.is_none() && was_connected && !is_leaving {
            tokio::time::sleep(self.switch_pause()).await;
        }
        page
    }

    /// How long this gateway waits before it turns from one relay to another.
    fn switch_pause(&self) -> Duration {
        let gateways = self.state.peers.lock().count();
        switch_pause(gateways, rand::rng().random_range(0.0..1.0))
    }

    /// Caches what was read: a whole feed or its changes.
    fn cache_page(&self, feed: Feed, page: &FeedPage, is_whole: bool, origin: Origin) {
        let now = self.state.now();
        if is_whole {
            self.state.feed_cache.replace(now, feed, page, origin);
        } else {
            self.state.feed_cache.extend(now, feed, page, origin);
        }
    }

    async fn request_from_peer(
        &self,
        route: &mut Route,
        addr: SocketAddr,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Result<ReceivedResponse, PeerError> {
        // Taken out while a request is in flight: a late response to a cancelled request must not
        // be taken for the response to the next one.
        let known = route.connection.take().filter(|(connected, _)| *connected == addr);
        let mut connection = match known {
            Some((_, connection)) => connection,
            None => self.connect(addr).await?,
        };
        let (wait, slack) = match after {
            Some(_) => (self.wait_for(feed), RESPONSE_SLACK),
            None => (WHOLE_WAIT, WHOLE_RESPONSE_SLACK),
        };
        let request = PeerRequest {
            feed: feed_number(feed),
            after: after.map(|after| after.number),
            store_era: Some(self.era(feed, after).0),
            wait_ms: wait.as_millis() as u64,
            host: self.state.settings.host.id.to_string(),
            accepts_packed: true,
            held: self.held(feed),
            ..self.updates_for(feed)
        };
        let mut response = exchange(&mut connection, &request, wait + slack).await?;
        route.connection = Some((addr, connection));
        let travelled_bytes = response.encoded_len();
        response.unpack(feed, &self.state.feed_cache).map_err(PeerError::Unpackable)?;
        apply_sessions(&self.state, &response.sessions);
        apply_baselines(&self.state, &response.baselines);
        apply_crashes(&self.state, &response.ends, &response.part_ends);
        Ok(ReceivedResponse { response, travelled_bytes })
    }

    /// Counts received data, and logs large updates.
    fn record_received(&self, feed: Feed, origin: Origin, bytes: usize, travelled_bytes: usize) {
        self.state.metrics.record_feed_bytes(origin, travelled_bytes);
        if bytes >= LARGE_UPDATE_BYTES {
            log::info!(
                feed:? = feed,
                origin:? = origin,
                bytes = bytes,
                travelled_bytes = travelled_bytes;
                "large news came"
            );
        }
    }

    /// Records whether the store itself responded. If it did not, the next try polls peers again,
    /// as the store may reject this gateway and serve others. With the store queried directly for 8
    /// s regardless, a rejected gateway got a configuration 9 s after the first one.
    async fn record_store_result(
        &self,
        feed: Feed,
        response: Result<FeedPage, ControlStoreError>,
    ) -> Result<FeedPage, ControlStoreError> {
        let is_unavailable =
            matches!(&response, Err(error) if !matches!(error, ControlStoreError::HistoryGone));
        if feed == LIVENESS_FEED {
            *self.store_unavailable_since.lock() = is_unavailable.then(|| self.state.now());
        }
        if let Some(route) = self.routes.get(&feed).filter(|_| is_unavailable) {
            route.lock().await.direct_until = MonoTime::default();
        }
        response
    }

    /// Whether the store is not queried about a feed because it fails on the liveness feed.
    ///
    /// While the store is unavailable each gateway keeps retrying, as it may serve some and reject
    /// others. One feed suffices for that; with three, 103 gateways made 1,700 calls in 8 s. Relays
    /// retry for each feed.
    fn is_store_unavailable(&self, feed: Feed) -> bool {
        let failed = *self.store_unavailable_since.lock();
        let is_recent = failed.is_some_and(|at| self.state.now().since(at) < STORE_UNAVAILABLE_FOR);
        feed != LIVENESS_FEED && is_recent && !follows_store(&self.state)
    }

    /// Caches a page that the store itself returned.
    fn cache_store_page(&self, feed: Feed, page: &FeedPage, is_whole: bool) {
        let bytes = page.value_bytes();
        self.record_received(feed, Origin::Store, bytes, bytes);
        self.state.news_from.lock().insert(feed, None);
        self.cache_page(feed, page, is_whole, Origin::Store);
    }

    /// The store era by which a feed is known.
    fn era(&self, feed: Feed, after: Option<StoreVersion>) -> StoreEra {
        after.map_or_else(|| self.state.feed_cache.era(feed), |after| after.era)
    }

    /// The large rows of a feed that are held.
    fn held(&self, feed: Feed) -> Vec<HeldRow> {
        let held = self.state.feed_cache.held(feed).into_iter();
        held.map(|(key, version)| HeldRow { key, version: version.number }).collect()
    }

    /// The updates sent along with a poll.
    fn updates_for(&self, feed: Feed) -> PeerRequest {
        if feed != Feed::Rollouts {
            return PeerRequest::default();
        }
        PeerRequest {
            evidence: local_evidence(&self.state),
            sessions: pinned_sessions(&self.state, SessionScope::Local),
            needs_baselines: self.state.rollouts.lock().needs_baselines(),
            ..PeerRequest::default()
        }
    }
}
