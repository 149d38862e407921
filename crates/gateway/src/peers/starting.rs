//! Reads feeds at startup, perhaps of the whole fleet at once.
//!
//! Peers are polled first, the store as well when they do not respond at once, and the list of
//! gateways before any other feed.

use std::pin::pin;
use std::time::Duration;

use stallhoist_core::MonoTime;
use tokio::time::timeout;

use super::poll_targets::is_starting;
use super::poll_targets::poll_targets;
use super::relayed_store::RelayedStore;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;

/// How long, and how often, a starting gateway retries peers that may be starting too.
const START_RETRY_TIME: Duration = Duration::from_millis(400);
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after which a starting gateway also queries the store if no peer's host has responded at
/// all. After a power loss the hosts of its peers may still be down and silent, which delayed the
/// gateway, and its callers, by 0.25 to 0.8 s.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// The same if a host has responded, even by refusing the connection: its process is starting, or is
/// serving others that start. The delay must not be so short that a whole fleet queries the store
/// while its seeds are busy with it. The time that the seeds need grows with the fleet: gateways that
/// they do not serve within the delay query the store.
const RESPONSIVE_HEDGE_DELAY: Duration = START_RETRY_TIME;

/// How long a starting gateway waits for the list of gateways before it requests anything else:
/// links to the seeds may be slow, those to the relays are not. It takes 10 ms, or 90 ms if the
/// store has to be queried.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(150);

impl<S: ControlStore> RelayedStore<S> {
    /// Reads a whole feed from whichever source responds first.
    pub(super) async fn read_at_start(&self, feed: Feed) -> Result<FeedPage, ControlStoreError> {
        self.wait_for_entries(feed).await;
        let mut others = Box::pin(self.request_from_peers_at_start(feed));
        let mut first = timeout(HEDGE_DELAY, others.as_mut()).await;
        if first.is_err() && self.is_peer_responsive() {
            first = timeout(RESPONSIVE_HEDGE_DELAY - HEDGE_DELAY, others.as_mut()).await;
        }
        if let Ok(response) = first {
            return match response {
                Some(response) => response,
                None => self.read_store(feed).await,
            };
        }
        let mut store = pin!(self.read_store(feed));
        tokio::select! {
            response = others.as_mut() => match response {
                Some(response) => response,
                None => store.await,
            },
            read = store.as_mut() => {
                if read.is_err() && let Some(response) = others.as_mut().await {
                    return response;
                }
                read
            }
        }
    }

    /// Waits briefly for the list of gateways.
    async fn wait_for_entries(&self, feed: Feed) {
        if feed == Feed::Entries {
            return;
        }
        let listed = async {
            loop {
                let changed = self.state.feed_cache.changed();
                if self.state.feed_cache.has(Feed::Entries) {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(ENTRIES_TIMEOUT, listed).await;
    }

    /// Requests a whole feed from peers, retrying briefly: when the whole fleet starts, they are
    /// not up yet.
    async fn request_from_peers_at_start(
        &self,
        feed: Feed,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let until = self.state.now().after(START_RETRY_TIME);
        loop {
            let response = self.request_from_peers(feed, None).await;
            let is_over = !is_starting(&self.state)
                || self.state.now() >= until
                || poll_targets(&self.state).is_empty();
            if response.is_some() || is_over {
                return response;
            }
            if let Some(route) = self.routes.get(&feed) {
                route.lock().await.direct_until = MonoTime::default();
            }
            tokio::time::sleep(START_RETRY_INTERVAL).await;
        }
    }
}
