//! The response to a peer's request, and the encoding of its rows.

use std::io;

use bytes::Bytes;
use prost::Message;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

use super::duty_messages::DutyResponse;
use super::feed_cache::FeedCache;
use super::messages::BaselineMessage;
use super::messages::CrashMessage;
use super::messages::DecisionMessage;
use super::messages::HealthMessage;
use super::messages::HeldRow;
use super::messages::LimitMessage;
use super::messages::PartCrashMessage;
use super::messages::PeerRequest;
use super::messages::Session;
use super::messages::WorkMessage;
use super::packing::MAX_VALUE_BYTES;
use super::packing::MIN_PACKED_BYTES;
use super::packing::pack;
use super::packing::unpack;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::control_store::FeedRow;

/// The response to a [`PeerRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerResponse {
    /// Whether there is a fresh copy of the feed.
    #[prost(bool, tag = "1")]
    pub(super) has_copy: bool,
    /// Whether changes after the requested version are no longer available.
    #[prost(bool, tag = "2")]
    pub(super) history_gone: bool,
    /// The rows.
    #[prost(message, repeated, tag = "3")]
    pub(super) rows: Vec<Row>,
    /// Version to continue from.
    #[prost(uint64, tag = "4")]
    pub(super) version: u64,
    /// The store's clock, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub(super) store_now_ms: u64,
    /// Known sessions that stay on the old version of a service.
    #[prost(message, repeated, tag = "6")]
    pub(super) sessions: Vec<Session>,
    /// Work in progress at all gateways but the requesting one, if it sent its own.
    #[prost(message, optional, tag = "7")]
    pub(super) work: Option<WorkMessage>,
    /// Known rollout decisions, in the same case.
    #[prost(message, repeated, tag = "8")]
    pub(super) rollout_decisions: Vec<DecisionMessage>,
    /// Baseline latencies of active versions, if requested.
    #[prost(message, repeated, tag = "9")]
    pub(super) baselines: Vec<BaselineMessage>,
    /// The rows, packed together instead of one by one: [`Rows`].
    #[prost(bytes = "bytes", optional, tag = "10")]
    pub(super) packed_rows: Option<Bytes>,
    /// Unhealthy upstreams, if the request carried work.
    #[prost(message, repeated, tag = "11")]
    pub(super) health: Vec<HealthMessage>,
    /// Upstreams that crashed while they ran a request, if the request carried work or read the
    /// whole feed.
    #[prost(message, repeated, tag = "12")]
    pub(super) ends: Vec<CrashMessage>,
    /// Rate limits that upstreams have reported, if no feed was requested.
    #[prost(message, repeated, tag = "13")]
    pub(super) limits: Vec<LimitMessage>,
    /// Store era of the versions; absent from older releases.
    #[prost(uint64, optional, tag = "14")]
    pub(super) store_era: Option<u64>,
    /// What concerns the duties, if the request did.
    #[prost(message, optional, tag = "15")]
    pub(super) duties: Option<DutyResponse>,
    /// Whether the sender will list the requester in the store, if that was requested.
    #[prost(bool, tag = "16")]
    pub(super) is_listing: bool,
    /// Whether the sender is about to stop: it should not be polled any more.
    #[prost(bool, tag = "17")]
    pub(super) is_leaving: bool,
    /// Upstreams that crashed while they ran requests with a part in their prompts, told as the other crashes are.
    #[prost(message, repeated, tag = "18")]
    pub(super) part_ends: Vec<PartCrashMessage>,
}

/// Rows of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Rows {
    #[prost(message, repeated, tag = "1")]
    pub(super) rows: Vec<Row>,
}

/// A row of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Row {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    /// Its value; absent if it was removed or is packed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(super) value: Option<Bytes>,
    /// Store version of its last change.
    #[prost(uint64, tag = "3")]
    pub(super) version: u64,
    /// Its packed value.
    #[prost(message, optional, tag = "4")]
    pub(super) packed: Option<PackedValue>,
}

/// A packed value.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PackedValue {
    /// The value, or its delta to an earlier one.
    #[prost(bytes = "bytes", tag = "1")]
    pub(super) bytes: Bytes,
    /// Version of the base value; absent for a whole value.
    #[prost(uint64, optional, tag = "2")]
    pub(super) base_version: Option<u64>,
}

impl PeerResponse {
    pub(super) fn of(page: FeedPage) -> Self {
        let row = |row: FeedRow| Row {
            key: row.key,
            value: row.value,
            version: row.version.number,
            packed: None,
        };
        Self {
            has_copy: true,
            history_gone: false,
            rows: page.rows.into_iter().map(row).collect(),
            version: page.version.number,
            store_now_ms: page.store_now_ms,
            store_era: Some(page.version.era.0),
            ..Self::default()
        }
    }

    /// Packs large rows separately, as deltas to what the requester holds, and then all rows
    /// together: a list of 3,000 upstreams has as many short rows that are much alike.
    pub(super) fn pack(&mut self, feed: Feed, request: &PeerRequest, feed_cache: &FeedCache) {
        if !request.accepts_packed {
            return;
        }
        let era = self.era(StoreEra::default());
        // A version number denotes another value in another era.
        let is_same_era = request.store_era == self.store_era;
        let held: &[HeldRow] = if is_same_era { &request.held } else { &[] };
        for row in &mut self.rows {
            let held = held.iter().find(|held| held.key == row.key);
            let held = held.map(|held| StoreVersion { era, number: held.version });
            let version = StoreVersion { era, number: row.version };
            let pack = feed_cache.pack_for(feed, &row.key, version, held);
            let Some((pack, bytes)) = pack.and_then(|pack| pack.packed().map(|b| (pack, b))) else {
                continue;
            };
            let base_version = pack.base_version.map(|version| version.number);
            row.packed = Some(PackedValue { bytes, base_version });
            row.value = None;
        }
        let rows_bytes: usize = self.rows.iter().map(Message::encoded_len).sum();
        if !(MIN_PACKED_BYTES..=MAX_VALUE_BYTES).contains(&rows_bytes) {
            return;
        }
        let rows = Rows { rows: std::mem::take(&mut self.rows) };
        let is_whole = request.after.is_none() && held.is_empty();
        let version = StoreVersion { era, number: self.version };
        let pack_rows = || pack(&rows.encode_to_vec(), None);
        let packed =
            if is_whole { feed_cache.packed_feed(feed, version, pack_rows) } else { pack_rows() };
        match packed {
            Ok(packed) => self.packed_rows = Some(packed),
            Err(error) => {
                log::error!(error:% = error; "failed to pack rows; sending them unpacked");
                self.rows = rows.rows;
            }
        }
    }

    /// Unpacks the values.
    ///
    /// # Errors
    /// Fails when a value cannot be unpacked or is a delta to a value that is not held.
    pub(super) fn unpack(&mut self, feed: Feed, feed_cache: &FeedCache) -> io::Result<()> {
        if let Some(packed) = self.packed_rows.take() {
            let rows = Rows::decode(unpack(&packed, None)?);
            self.rows = rows.map_err(io::Error::other)?.rows;
        }
        let era = self.era(feed_cache.era(feed));
        for row in &mut self.rows {
            let Some(packed) = row.packed.take() else {
                continue;
            };
            let held = |number| feed_cache.value(feed, &row.key, StoreVersion { era, number });
            let base = packed.base_version.map(|version| {
                held(version).ok_or_else(|| io::Error::other("the base of a delta is not held"))
            });
            row.value = Some(unpack(&packed.bytes, base.transpose()?.as_deref())?);
        }
        Ok(())
    }

    /// The store era of the versions, or `known` if the response has none.
    fn era(&self, known: StoreEra) -> StoreEra {
        self.store_era.map_or(known, StoreEra)
    }

    /// The page that the response carries. A response without an era, from an older release,
    /// belongs to the era `known`.
    ///
    /// # Errors
    /// [`ControlStoreError::HistoryGone`] when changes after the version are not available.
    pub(super) fn into_page(self, known: StoreEra) -> Result<FeedPage, ControlStoreError> {
        if self.history_gone {
            return Err(ControlStoreError::HistoryGone);
        }
        let era = self.era(known);
        let row = |row: Row| FeedRow {
            key: row.key,
            value: row.value,
            version: StoreVersion { era, number: row.version },
        };
        Ok(FeedPage {
            rows: self.rows.into_iter().map(row).collect(),
            version: StoreVersion { era, number: self.version },
            store_now_ms: self.store_now_ms,
        })
    }
}
