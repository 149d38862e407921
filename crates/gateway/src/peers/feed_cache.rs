//! Caches the feeds that this gateway reads from the store, in order to serve its peers.

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

/// A copy may be served while the store has responded within this time. It follows from the bound
/// of 2 s on applying a configuration: a gateway whose relay is cut off from the store must detect
/// that and query the store in less.
const FRESH_FOR: Duration = Duration::from_millis(1_500);

/// The feed whose follow calls are kept short, so that it shows whether the store is reachable.
pub(super) const LIVENESS_FEED: Feed = Feed::Operators;

/// How long a gateway counts as polled after a poll.
const POLLED_FOR: Duration = Duration::from_secs(5);

/// Where the latest data of a feed came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Origin {
    /// The platform's store.
    #[default]
    Store,
    /// Another gateway, at which the data's age is not known.
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
    /// Sets the current value of a row.
    fn set(&mut self, row: FeedRow, is_polled: bool) {
        match self.rows.entry(row.key.clone()) {
            Entry::Occupied(known) => known.into_mut().change(row, is_polled),
            Entry::Vacant(new) => {
                new.insert(CachedRow::new(row));
            }
        }
    }

    /// A page of the rows that match `fits`.
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
    /// Feeds whose next change a follow call is waiting for at the store.
    following: HashSet<Feed>,
    polled_at: Option<MonoTime>,
}

impl FeedCacheState {
    /// The time until which a copy may be served in place of the store; `None` if it may not be
    /// served at all.
    ///
    /// The liveness feed shows, by its short calls, that the store is reachable. Another feed with
    /// a follow call pending there for as long has not changed either: with short calls for each
    /// feed, three gateways made 400 of the 763 calls of a fault-free day.
    fn fresh_until(&self, feed: Feed) -> Option<MonoTime> {
        // The list of gateways changes rarely and has no freshness bound.
        let fresh_for = if feed == Feed::Entries { Duration::MAX } else { FRESH_FOR };
        let from_store = |feed| self.by_feed.get(&feed).filter(|c| c.origin == Origin::Store);
        let read_at = from_store(feed)?.read_at;
        let shown_at = from_store(LIVENESS_FEED).filter(|_| self.following.contains(&feed));
        let shown_at = shown_at.map_or(read_at, |liveness| liveness.read_at.max(read_at));
        Some(shown_at.after(fresh_for))
    }

    fn is_fresh(&self, now: MonoTime, feed: Feed) -> bool {
        self.fresh_until(feed).is_some_and(|until| now <= until)
    }

    fn is_polled(&self, now: MonoTime) -> bool {
        self.polled_at.is_some_and(|at| now.since(at) < POLLED_FOR)
    }
}

/// Copies of the feeds that this gateway follows at the store.
#[derive(Debug, Default)]
pub struct FeedCache {
    copies: Mutex<FeedCacheState>,
    /// All rows of a feed at a version, packed, since all gateways that start together request the
    /// same.
    packed_feeds: Mutex<HashMap<Feed, (StoreVersion, Bytes)>>,
    changed: Notify,
}

/// Marks a feed as having a follow call pending at the store, until it is dropped.
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
    /// Stores a whole feed.
    pub fn replace(&self, now: MonoTime, feed: Feed, page: &FeedPage, origin: Origin) {
        let copy = CachedFeed { complete_since: page.version, ..CachedFeed::default() };
        self.copies.lock().by_feed.insert(feed, copy);
        self.extend(now, feed, page, origin);
    }

    /// Applies changes. They are dropped if the feed was never read whole.
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

    /// The store era of a feed's copy, or 0 without a copy.
    pub(super) fn era(&self, feed: Feed) -> StoreEra {
        let copies = self.copies.lock();
        copies.by_feed.get(&feed).map_or_else(StoreEra::default, |copy| copy.version.era)
    }

    /// Whether a copy of a feed exists, fresh or not.
    pub fn has(&self, feed: Feed) -> bool {
        self.copies.lock().by_feed.contains_key(&feed)
    }

    /// Whether the latest data of a feed came from the store itself.
    pub fn is_from_store(&self, feed: Feed) -> bool {
        let copies = self.copies.lock();
        copies.by_feed.get(&feed).is_some_and(|copy| copy.origin == Origin::Store)
    }

    /// Records whether a follow call on a feed is pending at the store.
    pub fn set_following(&self, feed: Feed, is_waiting: bool) {
        let mut copies = self.copies.lock();
        if is_waiting {
            copies.following.insert(feed);
        } else {
            copies.following.remove(&feed);
        }
    }

    /// Marks a follow call on a feed as pending until the guard is dropped.
    pub(super) fn begin_follow(&self, feed: Feed) -> PendingFollow<'_> {
        self.set_following(feed, true);
        PendingFollow { copies: self, feed }
    }

    /// Wakes all that wait for changes, as this gateway is about to stop.
    pub(crate) fn wake_pollers(&self) {
        self.changed.notify_waiters();
    }

    /// Records a poll by a peer.
    pub fn record_poll(&self, now: MonoTime) {
        self.copies.lock().polled_at = Some(now);
    }

    /// Whether a peer has polled recently, so that the copies must be kept fresh.
    pub fn is_polled(&self, now: MonoTime) -> bool {
        self.copies.lock().is_polled(now)
    }

    /// All rows of a feed, or the changes after a version; `None` without a fresh copy.
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

    /// The time until which the copy of a feed is fresh if nothing more is read; `None` without a
    /// copy.
    pub fn fresh_until(&self, feed: Feed) -> Option<MonoTime> {
        self.copies.lock().fresh_until(feed)
    }

    /// All rows of a feed as last known, whatever their age and origin, for a gateway that starts
    /// while the store is unavailable. `None` if the feed was never read.
    pub fn last_known(&self, now: MonoTime, feed: Feed) -> Option<FeedPage> {
        let copies = self.copies.lock();
        let copy = copies.by_feed.get(&feed)?;
        Some(copy.page(now, copy.version, |row| row.value.is_some()))
    }

    /// The rows whose values are large enough to be sent as deltas, with the versions held.
    pub(super) fn held(&self, feed: Feed) -> Vec<(String, StoreVersion)> {
        let copies = self.copies.lock();
        let rows = copies.by_feed.get(&feed).into_iter().flat_map(|copy| &copy.rows);
        rows.filter_map(|(key, row)| Some((key.clone(), row.held()?))).collect()
    }

    /// The value of a row, if it is held at this version.
    pub(super) fn value(&self, feed: Feed, key: &str, version: StoreVersion) -> Option<Bytes> {
        let copies = self.copies.lock();
        let row = copies.by_feed.get(&feed)?.rows.get(key)?.row();
        row.value.clone().filter(|_| row.version == version)
    }

    /// A row's packed value for a peer that holds version `held` of it; `None` if it is not packed
    /// or has changed since `version`.
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

    /// All rows of a feed at a version: the cached packed form, or `pack()`.
    ///
    /// # Errors
    /// Fails when packing fails.
    pub(super) fn packed_feed(
        &self,
        feed: Feed,
        version: StoreVersion,
        pack: impl FnOnce() -> io::Result<Bytes>,
    ) -> io::Result<Bytes> {
        let mut packed_feeds = self.packed_feeds.lock();
        if let Some((_, packed)) = packed_feeds.get(&feed).filter(|(known, _)| *known == version) {
            return Ok(packed.clone());
        }
        let packed = pack()?;
        packed_feeds.insert(feed, (version, packed.clone()));
        Ok(packed)
    }

    /// Waits until a copy changes or is read again after this call. Call it before reading the
    /// copy.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }
}
