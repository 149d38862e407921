//! The order of a rollout and its record, across eras of the store.

use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// A row in the store: its version, or none if there is no row.
#[derive(Debug, Clone, Copy)]
struct StoreRow(Option<StoreVersion>);

/// The order of a rollout and its record.
///
/// A record belongs to an order if it was written later. Row versions can only be compared within one
/// era of the store, so the relation is remembered: when an order and a record are read again in a
/// later era, from whichever rows, their relation stays the same.
#[derive(Debug, Default)]
pub(super) struct OrderAndRecord {
    order: Option<RolloutOrder>,
    stored: Option<StoredRollout>,
    /// The era in which the rollout of the record was first seen.
    record_since: StoreEra,
    /// Whether the record is later than the order; none while they are known only from different eras.
    is_record_later: Option<bool>,
    /// If the store was restored from a copy without the record: the row that it has instead.
    restored_row: Option<StoreRow>,
}

impl OrderAndRecord {
    pub(super) fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    pub(super) fn order_version(&self) -> Option<StoreVersion> {
        self.order.as_ref().map(|order| order.row_version)
    }

    /// The record, whether it belongs to the order or not.
    pub(super) fn stored(&self) -> Option<&StoredRollout> {
        self.stored.as_ref()
    }

    /// The record, if it belongs to the order.
    pub(super) fn current(&self) -> Option<&StoredRollout> {
        let stored = self.stored.as_ref()?;
        let Some(order) = &self.order else {
            return Some(stored);
        };
        let is_answer = self.is_record_later == Some(true) && order.target == stored.record.target;
        is_answer.then_some(stored)
    }

    /// The row that a write of the record replaces.
    pub(super) fn expected(&self) -> Option<StoreVersion> {
        match self.restored_row {
            Some(StoreRow(version)) => version,
            None => self.stored.as_ref().map(|stored| stored.row_version),
        }
    }

    /// Whether the record must be written again, as only gateways know of it: either the store has lost
    /// it, or the order was written again, so that to a starting gateway it would look like a new one.
    pub(super) fn needs_rewrite(&self) -> bool {
        let is_order_later = |stored: &StoredRollout| {
            self.order_version().is_some_and(|order| stored.row_version < order)
        };
        self.current().is_some_and(|stored| self.restored_row.is_some() || is_order_later(stored))
    }

    /// Applies an order that was read. Returns whether it differs from the known one.
    pub(super) fn set_order(&mut self, order: RolloutOrder) -> bool {
        let is_known = self
            .order
            .as_ref()
            .is_some_and(|known| known.row_version == order.row_version || order.repeats(known));
        let is_different = self.order.is_some() && !is_known;
        let version = order.row_version;
        self.order = Some(order);
        if is_different && self.record_since < version.era {
            // The record may have been stored again after this order was written.
            self.is_record_later = self.stored.as_ref().map(|_| false);
        } else if !is_known || self.is_record_later.is_none() {
            let record = self.stored.as_ref().map(|stored| stored.row_version);
            self.is_record_later = record.and_then(|record| is_later(version, record));
        }
        !is_known
    }

    /// Applies a record that was read. A record that is older than the known one is ignored, and so is
    /// an earlier state of it from a restored store.
    pub(super) fn set_record(&mut self, stored: StoredRollout) {
        let needed_rewrite = self.needs_rewrite();
        let known = self.stored.as_ref();
        if known.is_some_and(|known| stored.row_version <= known.row_version) {
            return;
        }
        let is_superseded = known.is_some_and(|known| {
            let is_restored = known.row_version.era < stored.row_version.era;
            (is_restored || needed_rewrite) && known.record.supersedes(&stored.record)
        });
        let is_step = known.is_some_and(|known| known.record.is_same_rollout(&stored.record));
        if !is_superseded || self.is_record_later.is_none() {
            self.is_record_later = self.is_later_by_rows(stored.row_version, is_step);
        }
        if is_superseded {
            self.restored_row = Some(StoreRow(Some(stored.row_version)));
            return;
        }
        if !is_step {
            self.record_since = stored.row_version.era;
        }
        self.restored_row = None;
        self.stored = Some(stored);
    }

    /// Whether a record is later than the order, by the rows that both were read from. A step of the
    /// known rollout keeps the known relation; in the order's era its row decides as well.
    fn is_later_by_rows(&self, record: StoreVersion, is_step: bool) -> Option<bool> {
        let order = self.order_version()?;
        let was_later = self.is_record_later.filter(|_| is_step);
        match was_later {
            Some(false) if order.era != record.era => Some(false),
            Some(true) => Some(true),
            _ => is_later(order, record),
        }
    }

    /// Applies a complete read of the records at a version, without one for this service.
    pub(super) fn set_record_missing(&mut self, version: StoreVersion) {
        let known = self.stored.as_ref().map(|stored| stored.row_version);
        if known.is_some_and(|known| known.era < version.era) {
            self.restored_row = Some(StoreRow(None));
            // Nothing contradicts it: a version that was given up stays so.
            self.is_record_later.get_or_insert(true);
        }
    }
}

/// Whether a record is later than an order; none if it was read in an earlier era.
fn is_later(order: StoreVersion, record: StoreVersion) -> Option<bool> {
    (order.era <= record.era).then_some(order < record)
}
