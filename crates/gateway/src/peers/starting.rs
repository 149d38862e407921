//! What an entry does that has just started, perhaps with all others.
//!
//! It asks other entries first, the store as well when they do not answer at once, and the list of
//! entries before anything else.

use std::pin::pin;
use std::time::Duration;

use stallhoist_core::MonoTime;
use tokio::time::timeout;

use super::asked::asked;
use super::asked::is_starting;
use super::relayed_store::RelayedStore;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;

/// How long an entry that starts tries to reach those that may be starting too, and how often.
const START_TRIES_FOR: Duration = Duration::from_millis(400);
const START_TRY_EVERY: Duration = Duration::from_millis(50);

/// An entry that starts asks the store as well when others have not answered by then; those that are
/// well answer in 10 to 30 ms. After a loss of power the hosts of those that it asks may not be up
/// yet, and say nothing: it waited for 0.25 to 0.8 s, and callers with it.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// How long an entry that starts waits to learn who the other entries are before it asks for
/// anything else: the seeds' links may be slow, the relays' are not. It takes 10 ms, or 90 ms where
/// the store has to be asked.
const ENTRIES_FIRST_FOR: Duration = Duration::from_millis(150);

impl<S: ControlStore> RelayedStore<S> {
    /// Reads a whole feed, from whoever answers first.
    pub(super) async fn read_at_start(&self, feed: Feed) -> Result<FeedPage, ControlStoreError> {
        self.entries_first(feed).await;
        let mut others = Box::pin(self.ask_peers_at_start(feed));
        if let Ok(answer) = timeout(HEDGE_AFTER, others.as_mut()).await {
            return match answer {
                Some(answer) => answer,
                None => self.read_store(feed).await,
            };
        }
        let mut store = pin!(self.read_store(feed));
        tokio::select! {
            answer = others.as_mut() => match answer {
                Some(answer) => answer,
                None => store.await,
            },
            read = store.as_mut() => {
                if read.is_err() && let Some(answer) = others.as_mut().await {
                    return answer;
                }
                read
            }
        }
    }

    /// Waits a moment for the list of entries, if this one has just started.
    async fn entries_first(&self, feed: Feed) {
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
        let _ = timeout(ENTRIES_FIRST_FOR, listed).await;
    }

    /// Asks other entries for a whole feed, again and again for a moment if this one has just
    /// started: when a whole fleet starts, those that it asks are not up yet.
    async fn ask_peers_at_start(&self, feed: Feed) -> Option<Result<FeedPage, ControlStoreError>> {
        let until = self.state.now().after(START_TRIES_FOR);
        loop {
            let answer = self.ask_peers(feed, None).await;
            let is_over = !is_starting(&self.state)
                || self.state.now() >= until
                || asked(&self.state).is_empty();
            if answer.is_some() || is_over {
                return answer;
            }
            if let Some(route) = self.routes.get(&feed) {
                route.lock().await.direct_until = MonoTime::default();
            }
            tokio::time::sleep(START_TRY_EVERY).await;
        }
    }
}
