//! Follow calls to the store itself, repeated when their answer seems to be lost.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::select;
use stallhoist_core::StoreVersion;
use tokio::time::timeout;

use super::FIRST_DIRECT_WAIT;
use super::RelayedStore;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;

/// How long after its wait has ended a follow call may be unanswered before it is repeated. A store that is well takes
/// milliseconds; with one that takes longer than this each call is made twice, which `store_calls_repeated` shows.
const ANSWER_GRACE: Duration = Duration::from_millis(400);

/// Wait requested by the repeated call, whose answer must come soon.
const REPEATED_WAIT: Duration = Duration::ZERO;

impl<S: ControlStore> RelayedStore<S> {
    /// Follows a feed at the store.
    ///
    /// A lost answer shows only by silence: its connection says nothing more, while the store answers all other calls.
    /// A call that is not answered soon after its wait is therefore repeated on another connection. It stays pending
    /// beside that one, as the store may merely be slow, until either is answered.
    pub(super) async fn follow_store(
        &self,
        feed: Feed,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<FeedPage, ControlStoreError> {
        let mut first = pin!(self.store.follow(feed, after, wait));
        if wait <= FIRST_DIRECT_WAIT {
            // It times out soon by itself.
            return first.await;
        }
        if let Ok(answer) = timeout(wait + ANSWER_GRACE, first.as_mut()).await {
            return answer;
        }
        self.state.metrics.store_calls_repeated.inc();
        log::info!(
            feed:? = feed,
            wait_ms = wait.as_millis() as u64;
            "the store's answer is overdue, asking again"
        );
        let second = pin!(self.store.follow(feed, after, REPEATED_WAIT));
        let (Either::Left((answer, other)) | Either::Right((answer, other))) =
            select(first, second).await;
        match answer {
            Ok(_) | Err(ControlStoreError::HistoryGone) => answer,
            Err(_) => other.await,
        }
    }
}
