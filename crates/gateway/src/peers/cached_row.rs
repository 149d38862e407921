//! A row of the store as it is kept for other entries, ready to be sent to those that hold an
//! earlier value of it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use stallhoist_core::StoreVersion;

use super::packing::MIN_PACKED_BYTES;
use super::packing::pack;
use crate::control_store::FeedRow;

/// Earlier values that are kept, and their bytes in all. One that asks is mostly one or two
/// changes behind; one that is further behind gets the whole value.
const MAX_EARLIER: usize = 8;
const MAX_EARLIER_BYTES: usize = 8 << 20;

/// The version of the value that a packed one is the difference to; none when it is whole.
pub(super) type BaseVersion = Option<StoreVersion>;

/// A packed value, made when it is first asked for: ten entries ask for the same one at once.
#[derive(Debug, Clone)]
pub(super) struct LazyPack {
    value: Bytes,
    base: Option<Bytes>,
    pub(super) base_version: BaseVersion,
    packed: Arc<OnceLock<Option<Bytes>>>,
}

impl LazyPack {
    /// The packed value; none when it cannot be packed.
    pub(super) fn packed(&self) -> Option<Bytes> {
        let pack = || match pack(&self.value, self.base.as_deref()) {
            Ok(packed) => Some(packed),
            Err(error) => {
                log::error!(error:% = error; "a value cannot be packed, it is sent as it is");
                None
            }
        };
        self.packed.get_or_init(pack).clone()
    }
}

/// A row, and what it was before.
#[derive(Debug)]
pub(super) struct CachedRow {
    row: FeedRow,
    /// Earlier values, the newest first.
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

    /// The row has changed. What it was is kept if others may hold it.
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

    /// The version that is held, if the value is worth a difference to it.
    pub(super) fn held(&self) -> Option<StoreVersion> {
        let value = self.row.value.as_ref()?;
        (value.len() >= MIN_PACKED_BYTES).then_some(self.row.version)
    }

    /// The value, packed for one that holds a version of it; none when it is not packed.
    pub(super) fn pack_for(&mut self, held: BaseVersion) -> Option<LazyPack> {
        let value = self.row.value.clone().filter(|value| value.len() >= MIN_PACKED_BYTES)?;
        let base = self.earlier.iter().find(|(version, _)| Some(*version) == held);
        let (base_version, base) = base.cloned().unzip();
        let new = || LazyPack { value, base, base_version, packed: Arc::default() };
        Some(self.packs.entry(base_version).or_insert_with(new).clone())
    }
}
