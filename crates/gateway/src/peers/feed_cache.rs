//! What this entry has read of the store, for others that ask.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::btree_map::Entry;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelValue;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::cached_row::BaseVersion;
use super::cached_row::CachedRow;
use super::cached_row::LazyPack;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::control_store::FeedRow;

/// A copy is good for others while the store has answered within this time. It follows from
/// the bound on a configuration, 2 s: an entry whose relay is cut off from the store must
/// learn so and ask the store in less.
const FRESH_FOR: Duration = Duration::from_millis(1_500);

/// The feed whose questions wait for a short time only, so that it shows that the store is reached.
pub(super) const LIVENESS_FEED: Feed = Feed::Operators;

/// How long an entry counts as asked by others after a question.
const POLLED_FOR: Duration = Duration::from_secs(5);

/// Whom the news of a feed came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Origin {
    /// The platform's store.
    #[default]
    Store,
    /// Another entry: how old it is there is not known.
    OtherEntry,
}

#[derive(Debug, Default)]
struct CachedFeed {
    rows: BTreeMap<String, CachedRow>,
    /// Changes up to this version may be missing.
    complete_since: StoreVersion,
    version: StoreVersion,
    store_now_ms: u64,
    read_at: MonoTime,
    origin: Origin,
}

impl CachedFeed {
    /// A row is so now.
    fn set(&mut self, row: FeedRow, is_polled: bool) {
        match self.rows.entry(row.key.clone()) {
            Entry::Occupied(known) => known.into_mut().change(row, is_polled),
            Entry::Vacant(new) => {
                new.insert(CachedRow::new(row));
            }
        }
    }

    /// Those of its rows that fit, as a page.
    fn page(
        &self,
        now: MonoTime,
        version: StoreVersion,
        fits: impl Fn(&FeedRow) -> bool,
    ) -> FeedPage {
        let rows = self.rows.values().map(CachedRow::row);
        let mut rows: Vec<_> = rows.filter(|row| fits(row)).cloned().collect();
        rows.sort_by_key(|row| row.version);
        let age_ms = u64::try_from(now.since(self.read_at).as_millis()).unwrap_or(u64::MAX);
        FeedPage { rows, version, store_now_ms: self.store_now_ms + age_ms }
    }
}

#[derive(Debug, Default)]
struct FeedCacheState {
    by_feed: HashMap<Feed, CachedFeed>,
    /// Feeds about whose next change a question waits at the store.
    following: HashSet<Feed>,
    asked_at: Option<MonoTime>,
}

impl FeedCacheState {
    /// Until when others may take a copy for what the store says; none when they may not at all.
    ///
    /// One feed shows that the store is reached, by its short waits. Where a question about
    /// another one waits there as long, that one has not changed either: with short waits for each
    /// feed, three entries made 400 of the 763 calls of a calm day.
    fn fresh_until(&self, feed: Feed) -> Option<MonoTime> {
        // The list of entries changes rarely, and nothing is bound to it.
        let fresh_for = if feed == Feed::Entries { Duration::MAX } else { FRESH_FOR };
        let from_store = |feed| self.by_feed.get(&feed).filter(|c| c.origin == Origin::Store);
        let read_at = from_store(feed)?.read_at;
        let shown_at = from_store(LIVENESS_FEED).filter(|_| self.following.contains(&feed));
        let shown_at = shown_at.map_or(read_at, |proof| proof.read_at.max(read_at));
        Some(shown_at.after(fresh_for))
    }

    fn is_fresh(&self, now: MonoTime, feed: Feed) -> bool {
        self.fresh_until(feed).is_some_and(|until| now <= until)
    }

    fn is_polled(&self, now: MonoTime) -> bool {
        self.asked_at.is_some_and(|at| now.since(at) < POLLED_FOR)
    }
}

/// Copies of the feeds that this entry follows at the store.
#[derive(Debug, Default)]
pub struct FeedCache {
    copies: Mutex<FeedCacheState>,
    /// All rows of a feed at a version, packed: all entries that start at once ask for the same.
    packed_wholes: Mutex<HashMap<Feed, (StoreVersion, Bytes)>>,
    changed: Notify,
}

/// A question about the next change of a feed waits at the store.
#[derive(Debug)]
pub(super) struct PendingFollow<'a> {
    copies: &'a FeedCache,
    feed: Feed,
}

impl Drop for PendingFollow<'_> {
    fn drop(&mut self) {
        self.copies.set_following(self.feed, false);
    }
}

impl FeedCache {
    /// The whole feed was read.
    pub fn replace(&self, now: MonoTime, feed: Feed, page: &FeedPage, origin: Origin) {
        let copy = CachedFeed { complete_since: page.version, ..CachedFeed::default() };
        self.copies.lock().by_feed.insert(feed, copy);
        self.extend(now, feed, page, origin);
    }

    /// Changes came. Without the rows before them they are of no use.
    pub fn extend(&self, now: MonoTime, feed: Feed, page: &FeedPage, origin: Origin) {
        let mut copies = self.copies.lock();
        let is_polled = copies.is_polled(now);
        let Some(copy) = copies.by_feed.get_mut(&feed) else {
            return;
        };
        for row in &page.rows {
            copy.set(row.clone(), is_polled);
        }
        copy.version = page.version;
        copy.store_now_ms = page.store_now_ms;
        copy.read_at = now;
        copy.origin = origin;
        drop(copies);
        self.changed.notify_waiters();
    }

    /// The store's era that the copy of a feed is of; 0 where there is none.
    pub(super) fn era(&self, feed: Feed) -> StoreEra {
        let copies = self.copies.lock();
        copies.by_feed.get(&feed).map_or_else(StoreEra::default, |copy| copy.version.era)
    }

    /// Whether there is a copy of a feed, fresh or not.
    pub fn has(&self, feed: Feed) -> bool {
        self.copies.lock().by_feed.contains_key(&feed)
    }

    /// Whether the newest news of a feed came from the store itself.
    pub fn is_from_store(&self, feed: Feed) -> bool {
        let copies = self.copies.lock();
        copies.by_feed.get(&feed).is_some_and(|copy| copy.origin == Origin::Store)
    }

    /// A question about the next change of a feed waits at the store from now on, or no longer.
    pub fn set_following(&self, feed: Feed, is_waiting: bool) {
        let mut copies = self.copies.lock();
        if is_waiting {
            copies.following.insert(feed);
        } else {
            copies.following.remove(&feed);
        }
    }

    /// The same, until the guard is dropped.
    pub(super) fn begin_follow(&self, feed: Feed) -> PendingFollow<'_> {
        self.set_following(feed, true);
        PendingFollow { copies: self, feed }
    }

    /// Another entry asks.
    pub fn record_poll(&self, now: MonoTime) {
        self.copies.lock().asked_at = Some(now);
    }

    /// Whether others have asked lately: then the copies must be kept fresh.
    pub fn is_polled(&self, now: MonoTime) -> bool {
        self.copies.lock().is_polled(now)
    }

    /// All rows of a feed, or the changes after a version; none when there is no fresh copy.
    ///
    /// # Errors
    /// [`ControlStoreError::HistoryGone`] when changes after that version may be missing.
    pub fn page(
        &self,
        now: MonoTime,
        feed: Feed,
        after: Option<StoreVersion>,
    ) -> Option<Result<FeedPage, ControlStoreError>> {
        let copies = self.copies.lock();
        let copy = copies.by_feed.get(&feed)?;
        if !copies.is_fresh(now, feed) {
            return None;
        }
        if after.is_some_and(|after| after < copy.complete_since) {
            return Some(Err(ControlStoreError::HistoryGone));
        }
        let is_new = |row: &FeedRow| match after {
            Some(after) => row.version > after,
            None => row.value.is_some(),
        };
        let version = after.map_or(copy.version, |after| after.max(copy.version));
        Some(Ok(copy.page(now, version, is_new)))
    }

    /// Until when the copy of a feed is fresh, if nothing more is read; none if there is none.
    pub fn fresh_until(&self, feed: Feed) -> Option<MonoTime> {
        self.copies.lock().fresh_until(feed)
    }

    /// All rows of a feed as they were known last, however long ago and from whomever: for an
    /// entry that starts while the store is away. None when the feed was never read here.
    pub fn last_known(&self, now: MonoTime, feed: Feed) -> Option<FeedPage> {
        let copies = self.copies.lock();
        let copy = copies.by_feed.get(&feed)?;
        Some(copy.page(now, copy.version, |row| row.value.is_some()))
    }

    /// The rows whose values are so large that a difference to them is worth while, with the
    /// versions that are held.
    pub(super) fn held(&self, feed: Feed) -> Vec<(String, StoreVersion)> {
        let copies = self.copies.lock();
        let rows = copies.by_feed.get(&feed).into_iter().flat_map(|copy| &copy.rows);
        rows.filter_map(|(key, row)| Some((key.clone(), row.held()?))).collect()
    }

    /// The value of a row at a version, if that is what is held.
    pub(super) fn value(&self, feed: Feed, key: &str, version: StoreVersion) -> Option<Bytes> {
        let copies = self.copies.lock();
        let row = copies.by_feed.get(&feed)?.rows.get(key)?.row();
        row.value.clone().filter(|_| row.version == version)
    }

    /// A row's value, packed for one that holds a version of it; none when it is not packed, or
    /// has changed since.
    pub(super) fn pack_for(
        &self,
        feed: Feed,
        key: &str,
        version: StoreVersion,
        held: BaseVersion,
    ) -> Option<LazyPack> {
        let mut copies = self.copies.lock();
        let row = copies.by_feed.get_mut(&feed)?.rows.get_mut(key)?;
        if row.row().version == version { row.pack_for(held) } else { None }
    }

    /// All rows of a feed at a version, as they were packed last, or packed now.
    ///
    /// # Errors
    /// Fails when the packing does.
    pub(super) fn packed_whole(
        &self,
        feed: Feed,
        version: StoreVersion,
        pack: impl FnOnce() -> io::Result<Bytes>,
    ) -> io::Result<Bytes> {
        let mut wholes = self.packed_wholes.lock();
        if let Some((_, packed)) = wholes.get(&feed).filter(|(known, _)| *known == version) {
            return Ok(packed.clone());
        }
        let packed = pack()?;
        wholes.insert(feed, (version, packed.clone()));
        Ok(packed)
    }

    /// Waits until a copy changes, or is read again, after this call: to be called before
    /// the copy is looked at.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }
}
