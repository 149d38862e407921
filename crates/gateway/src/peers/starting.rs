//! What an entry does that has just started, perhaps with all others.
//!
//! It asks other entries first, the store as well when they do not answer at once, and the list of
//! entries before anything else.

use std::pin::pin;
use std::time::Duration;

use stallhoist_core::MonoTime;
use tokio::time::timeout;

use super::poll_targets::asked;
use super::poll_targets::is_starting;
use super::relayed_store::RelayedStore;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;

/// How long an entry that starts tries to reach those that may be starting too, and how often.
const START_RETRY_TIME: Duration = Duration::from_millis(400);
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// An entry that starts asks the store as well when others have not answered by then; those that are
/// well answer in 10 to 30 ms. After a loss of power the hosts of those that it asks may not be up
/// yet, and say nothing: it waited for 0.25 to 0.8 s, and callers with it.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// How long an entry that starts waits to learn who the other entries are before it asks for
/// anything else: the seeds' links may be slow, the relays' are not. It takes 10 ms, or 90 ms where
/// the store has to be asked.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(150);

impl<S: ControlStore> RelayedStore<S> {
    /// Reads a whole feed, from whoever answers first.
    pub(super) async fn read_at_start(&self, feed: Feed) -> Result<FeedPage, ControlStoreError> {
        self.wait_for_entries(feed).await;
        let mut others = Box::pin(self.request_from_peers_at_start(feed));
        if let Ok(response) = timeout(HEDGE_DELAY, others.as_mut()).await {
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

    /// Waits a moment for the list of entries, if this one has just started.
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

    /// Asks other entries for a whole feed, again and again for a moment if this one has just
    /// started: when a whole fleet starts, those that it asks are not up yet.
    async fn request_from_peers_at_start(
        &self,
        feed: Feed,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let until = self.state.now().after(START_RETRY_TIME);
        loop {
            let response = self.request_from_peers(feed, None).await;
            let is_over = !is_starting(&self.state)
                || self.state.now() >= until
                || asked(&self.state).is_empty();
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
