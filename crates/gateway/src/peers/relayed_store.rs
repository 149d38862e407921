//! The store as an entry of a large fleet sees it: through another entry where that
//! answers, else directly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use stallhoist_policy::fatal::FatalChange;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::baselines::apply_baselines;
use super::connection::PeerError;
use super::connection::connect;
use super::connection::exchange;
use super::crashes::apply_crashes;
use super::evidence::apply_sessions;
use super::evidence::local_evidence;
use super::evidence::pinned_sessions;
use super::feed_cache::LIVENESS_FEED;
use super::feed_cache::Origin;
use super::messages::HeldRow;
use super::messages::PeerRequest;
use super::messages::feed_number;
use super::poll_targets::asked;
use super::poll_targets::follows_store;
use super::poll_targets::is_starting;
use super::response::PeerResponse;
use super::route::Route;
use super::seeds::request_from_seeds;
use crate::control_store::Change;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::control_store::FeedRow;
use crate::control_store::ListedEntry;
use crate::control_store::RolloutChange;
use crate::control_store::UnreadableRow;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// How long another entry may take to begin its answer, beyond the wait it was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(400);

/// How long a question waits for news: soon enough to notice an entry that is gone.
const PEER_WAIT: Duration = Duration::from_millis(1_000);

/// The same while a version is rolled out: each question carries what was seen of it.
const ROLLOUT_WAIT: Duration = Duration::from_millis(500);

/// The same for the list of entries, to which no bound applies.
const ENTRIES_WAIT: Duration = Duration::from_secs(8);

/// The longest of these waits while a fleet starts: an entry learns only between two questions that
/// it is one of those that follow the store, and others wait for its news.
const START_WAIT: Duration = Duration::from_millis(400);

/// How long the store is asked to wait for news by the first call after others told them, who
/// may have lost it: a store that is silent would be waited for until the call's own time-out,
/// and its return be noticed too late.
const FIRST_DIRECT_WAIT: Duration = Duration::from_millis(50);

/// A store that has not answered within this time is taken to be away at a start. It takes
/// 4 ms when it is well.
const SEEDS_DELAY: Duration = Duration::from_millis(300);

/// How long the store is asked directly after no other entry could answer.
const DIRECT_FOR: Duration = Duration::from_secs(8);

/// The same for an entry that has just started: those that it asks may have started with it.
const START_DIRECT_FOR: Duration = Duration::from_millis(1_000);

/// How long a question for a whole feed waits for an entry that is about to read it. An entry
/// that is silent costs one that starts so much of the time in which callers wait for it.
const WHOLE_WAIT: Duration = Duration::from_millis(400);
const WHOLE_ANSWER_SLACK: Duration = Duration::from_millis(200);

/// How long a failure of one feed speaks for the others: it is tried again in less.
const STORE_UNAVAILABLE_FOR: Duration = Duration::from_secs(2);

/// While others ask this entry, it asks the store at least so often, as its copies are of
/// no use to them when they are older.
const FRESH_WAIT: Duration = Duration::from_millis(900);

/// News of so many bytes have a log line of their own: what takes long to come shows there.
const LARGE_UPDATE_BYTES: usize = 32 << 10;

/// An answer, unpacked, and the bytes that it took on its way.
#[derive(Debug)]
struct ReceivedResponse {
    response: PeerResponse,
    travelled_bytes: usize,
}

/// The store, through another entry where that answers.
#[derive(Debug)]
pub(crate) struct RelayedStore<S> {
    pub(super) state: Arc<GatewayState>,
    store: Arc<S>,
    pub(super) routes: HashMap<Feed, Mutex<Route>>,
    /// When the store failed to answer about the feed that proves it, and has not answered since.
    store_unavailable_since: parking_lot::Mutex<Option<MonoTime>>,
}

impl<S: ControlStore> RelayedStore<S> {
    pub(crate) fn new(state: Arc<GatewayState>, store: Arc<S>) -> Self {
        let routes = Feed::ALL.into_iter().map(|feed| (feed, Mutex::default())).collect();
        Self { state, store, routes, store_unavailable_since: parking_lot::Mutex::default() }
    }

    /// Asks other entries in turn; none when the store is to be asked.
    pub(super) async fn request_from_peers(
        &self,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let mut route = self.routes.get(&feed)?.lock().await;
        if self.state.now() < route.direct_until {
            return None;
        }
        let asked = asked(&self.state);
        if asked.is_empty() {
            return None;
        }
        for addr in asked {
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
            route.skip(self.state.now(), addr);
        }
        log::info!(feed:? = feed; "no other entry has fresh news, asking the store");
        let direct_for = if is_starting(&self.state) { START_DIRECT_FOR } else { DIRECT_FOR };
        route.direct_until = self.state.now().after(direct_for);
        route.skipped_until.clear();
        None
    }

    /// How long a question about a feed waits for news.
    fn wait_for(&self, feed: Feed) -> Duration {
        let wait = match feed {
            Feed::Operators | Feed::Members | Feed::FatalRequests => PEER_WAIT,
            Feed::Rollouts => ROLLOUT_WAIT,
            Feed::Entries => ENTRIES_WAIT,
        };
        if is_starting(&self.state) { wait.min(START_WAIT) } else { wait }
    }

    /// Reads a whole feed from the store; from a seed, however old, if the store is away.
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

    /// What an entry answers; none when it does not answer or has no fresh copy.
    async fn fresh_page(
        &self,
        route: &mut Route,
        addr: SocketAddr,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        match self.request_from_peer(route, addr, feed, after).await {
            Ok(arrived) if !arrived.response.has_copy => None,
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
        }
    }

    /// Keeps a copy of what was read: of the whole feed, or of its changes.
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
        // Taken out while a question is under way: the answer to one that is not waited for any more
        // must not be taken for that to the next one.
        let known = route.connection.take().filter(|(connected, _)| *connected == addr);
        let mut connection = match known {
            Some((_, connection)) => connection,
            None => connect(addr).await?,
        };
        let (wait, slack) = match after {
            Some(_) => (self.wait_for(feed), ANSWER_SLACK),
            None => (WHOLE_WAIT, WHOLE_ANSWER_SLACK),
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
        apply_baselines(&self.state, &response.times);
        apply_crashes(&self.state, &response.ends);
        Ok(ReceivedResponse { response, travelled_bytes })
    }

    /// Counts news, and logs them if they are large.
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

    /// What the store itself has answered. Where it did not answer, other entries are asked again
    /// at the next try: the store may turn this entry away and serve others. With the store asked
    /// for 8 s all the same, one that was turned away had a configuration 9 s after the first.
    async fn record_store_result(
        &self,
        feed: Feed,
        response: Result<FeedPage, ControlStoreError>,
    ) -> Result<FeedPage, ControlStoreError> {
        let is_away =
            matches!(&response, Err(error) if !matches!(error, ControlStoreError::HistoryGone));
        if feed == LIVENESS_FEED {
            *self.store_unavailable_since.lock() = is_away.then(|| self.state.now());
        }
        if let Some(route) = self.routes.get(&feed).filter(|_| is_away) {
            route.lock().await.direct_until = MonoTime::default();
        }
        response
    }

    /// Whether the store is not asked about a feed, as it does not answer about another one.
    ///
    /// While it is away each entry tries it again and again, as it may serve some and turn others
    /// away. One feed is enough for that; with three, 103 entries made 1,700 calls in 8 s. Those
    /// that others ask try for each feed.
    fn is_store_unavailable(&self, feed: Feed) -> bool {
        let failed = *self.store_unavailable_since.lock();
        let is_recent = failed.is_some_and(|at| self.state.now().since(at) < STORE_UNAVAILABLE_FOR);
        feed != LIVENESS_FEED && is_recent && !follows_store(&self.state)
    }

    /// Keeps what the store itself has answered.
    fn cache_store_page(&self, feed: Feed, page: &FeedPage, is_whole: bool) {
        let bytes = page.value_bytes();
        self.record_received(feed, Origin::Store, bytes, bytes);
        self.state.news_from.lock().insert(feed, None);
        self.cache_page(feed, page, is_whole, Origin::Store);
    }

    /// The store's era by which a feed is known.
    fn era(&self, feed: Feed, after: Option<StoreVersion>) -> StoreEra {
        after.map_or_else(|| self.state.feed_cache.era(feed), |after| after.era)
    }

    /// The large rows that are held of a feed.
    fn held(&self, feed: Feed) -> Vec<HeldRow> {
        let held = self.state.feed_cache.held(feed).into_iter();
        held.map(|(key, version)| HeldRow { key, version: version.number }).collect()
    }

    /// What the entry that is asked is told with the question.
    fn updates_for(&self, feed: Feed) -> PeerRequest {
        if feed != Feed::Rollouts {
            return PeerRequest::default();
        }
        PeerRequest {
            evidence: local_evidence(&self.state),
            sessions: pinned_sessions(&self.state, SessionScope::Local),
            needs_baselines: self.state.rollouts.lock().wants_times(),
            ..PeerRequest::default()
        }
    }
}

impl<S: ControlStore> ControlStore for RelayedStore<S> {
    async fn read(&self, feed: Feed) -> Result<FeedPage, ControlStoreError> {
        if is_starting(&self.state) {
            return self.read_at_start(feed).await;
        }
        match self.request_from_peers(feed, None).await {
            Some(response) => response,
            None => self.read_store(feed).await,
        }
    }

    async fn follow(
        &self,
        feed: Feed,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<FeedPage, ControlStoreError> {
        if let Some(response) = self.request_from_peers(feed, Some(after)).await {
            return response;
        }
        if self.is_store_unavailable(feed) {
            let cause = "it does not answer about other feeds".to_owned();
            return Err(ControlStoreError::NotReached(cause));
        }
        let is_polled = self.state.feed_cache.is_polled(self.state.now());
        if is_polled && !self.state.feed_cache.has(feed) {
            // Others need this entry's news, and it has only followed changes so far.
            return Err(ControlStoreError::HistoryGone);
        }
        let is_proof = is_polled && feed == LIVENESS_FEED;
        let wait = if is_proof { wait.min(FRESH_WAIT) } else { wait };
        let is_reached = self.state.feed_cache.is_from_store(feed);
        let wait = if is_reached { wait } else { wait.min(FIRST_DIRECT_WAIT) };
        let pending = self.state.feed_cache.begin_follow(feed);
        let page = self.store.follow(feed, after, wait).await;
        drop(pending);
        let page = self.record_store_result(feed, page).await?;
        self.cache_store_page(feed, &page, false);
        Ok(page)
    }

    fn decode(&self, feed: Feed, row: &FeedRow) -> Result<Option<Change>, UnreadableRow> {
        self.store.decode(feed, row)
    }

    async fn list_entry(&self, entry: &ListedEntry) -> Result<(), ControlStoreError> {
        self.store.list_entry(entry).await
    }

    async fn commit_rollout(&self, change: &RolloutChange) -> Result<(), ControlStoreError> {
        self.store.commit_rollout(change).await
    }

    async fn commit_fatal(
        &self,
        request: RequestFingerprint,
        change: &FatalChange,
    ) -> Result<(), ControlStoreError> {
        self.store.commit_fatal(request, change).await
    }
}
