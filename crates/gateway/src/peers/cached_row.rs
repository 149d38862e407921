//! A cached row of the store, ready to be sent as a delta to peers that hold an earlier value.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use stallhoist_core::StoreVersion;

use super::packing::MIN_PACKED_BYTES;
use super::packing::pack;
use crate::control_store::FeedRow;

/// Limits on the earlier values that are kept, by count and by total size. A poller is usually one
/// or two changes behind; one that is further behind receives the whole value.
const MAX_EARLIER: usize = 8;
const MAX_EARLIER_BYTES: usize = 8 << 20;

/// Version of the base value of a delta; `None` for a whole value.
pub(super) type BaseVersion = Option<StoreVersion>;

/// A packed value, compressed on first use: ten gateways request the same one at once.
#[derive(Debug, Clone)]
pub(super) struct LazyPack {
    value: Bytes,
    base: Option<Bytes>,
    pub(super) base_version: BaseVersion,
    packed: Arc<OnceLock<Option<Bytes>>>,
}

impl LazyPack {
    /// The packed value, or `None` if packing failed.
    pub(super) fn packed(&self) -> Option<Bytes> {
        let pack = || match pack(&self.value, self.base.as_deref()) {
            Ok(packed) => Some(packed),
            Err(error) => {
                log::error!(error:% = error; "failed to pack a value; sending it unpacked");
                None
            }
        };
        self.packed.get_or_init(pack).clone()
    }
}

/// A row with its earlier values.
#[derive(Debug)]
pub(super) struct CachedRow {
    row: FeedRow,
    /// Earlier values, newest first.
    earlier: VecDeque<(StoreVersion, Bytes)>,
    packs: HashMap<BaseVersion, LazyPack>,
}

impl CachedRow {
    pub(super) fn new(row: FeedRow) -> Self {
        Self { row, earlier: VecDeque::new(), packs: HashMap::new() }
    }

    pub(super) fn row(&self) -> &FeedRow {
        &self.row
    }

    /// Replaces the row. The previous value is kept if peers may hold it.
    pub(super) fn change(&mut self, row: FeedRow, is_earlier_kept: bool) {
        let before = std::mem::replace(&mut self.row, row);
        self.packs.clear();
        if !is_earlier_kept {
            self.earlier.clear();
            return;
        }
        if let Some(value) = before.value.filter(|value| value.len() >= MIN_PACKED_BYTES) {
            self.earlier.push_front((before.version, value));
        }
        while self.earlier.len() > MAX_EARLIER || self.earlier_bytes() > MAX_EARLIER_BYTES {
            self.earlier.pop_back();
        }
    }

    fn earlier_bytes(&self) -> usize {
        self.earlier.iter().map(|(_, value)| value.len()).sum()
    }

    /// The row's version, if its value is large enough to be sent as a delta.
    pub(super) fn held(&self) -> Option<StoreVersion> {
        let value = self.row.value.as_ref()?;
        (value.len() >= MIN_PACKED_BYTES).then_some(self.row.version)
    }

    /// Packs the value as a delta to the version that the peer holds, or whole if that version is
    /// not kept. `None` if the value is too small to pack.
    pub(super) fn pack_for(&mut self, held: BaseVersion) -> Option<LazyPack> {
        let value = self.row.value.clone().filter(|value| value.len() >= MIN_PACKED_BYTES)?;
        let base = self.earlier.iter().find(|(version, _)| Some(*version) == held);
        let (base_version, base) = base.cloned().unzip();
        let new = || LazyPack { value, base, base_version, packed: Arc::default() };
        Some(self.packs.entry(base_version).or_insert_with(new).clone())
    }
}
