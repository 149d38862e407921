//! The calls of the control store, through peers where they have fresh data.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::StoreVersion;
use stallhoist_policy::fatal::FatalChange;
use stallhoist_policy::usage::DutyWrite;

use super::FIRST_DIRECT_WAIT;
use super::FRESH_WAIT;
use super::RelayedStore;
use crate::control_store::Change;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::control_store::FeedRow;
use crate::control_store::ListedEntry;
use crate::control_store::RolloutChange;
use crate::control_store::StoredDuty;
use crate::control_store::UnreadableRow;
use crate::peers::feed_cache::LIVENESS_FEED;
use crate::peers::poll_targets::is_starting;

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
            let cause = "it does not respond on the liveness feed".to_owned();
            return Err(ControlStoreError::NotReached(cause));
        }
        let is_polled = self.state.feed_cache.is_polled(self.state.now());
        if is_polled && !self.state.feed_cache.has(feed) {
            // Peers need this feed, and only its changes have been followed so far.
            return Err(ControlStoreError::HistoryGone);
        }
        let is_proof = is_polled && feed == LIVENESS_FEED;
        let wait = if is_proof { wait.min(FRESH_WAIT) } else { wait };
        let is_reached = self.state.feed_cache.is_from_store(feed);
        let wait = if is_reached { wait } else { wait.min(FIRST_DIRECT_WAIT) };
        let pending = self.state.feed_cache.begin_follow(feed);
        let page = self.follow_store(feed, after, wait).await;
        drop(pending);
        let page = self.record_store_result(feed, page).await?;
        self.cache_store_page(feed, &page, false);
        Ok(page)
    }

    fn decode(&self, feed: Feed, row: &FeedRow) -> Result<Option<Change>, UnreadableRow> {
        self.store.decode(feed, row)
    }

    async fn list_entries(&self, entries: &[ListedEntry]) -> Result<(), ControlStoreError> {
        self.store.list_entries(entries).await
    }

    async fn commit_rollout(&self, change: &RolloutChange) -> Result<(), ControlStoreError> {
        self.store.commit_rollout(change).await
    }

    async fn commit_fatal(
        &self,
        subject: CrashSubject,
        change: &FatalChange,
    ) -> Result<(), ControlStoreError> {
        self.store.commit_fatal(subject, change).await
    }

    async fn read_duty(&self) -> Result<StoredDuty, ControlStoreError> {
        self.store.read_duty().await
    }

    async fn commit_duty(&self, write: &DutyWrite) -> Result<StoreVersion, ControlStoreError> {
        self.store.commit_duty(write).await
    }
}
