//! The order of a roll-out and its record, as they are known across eras of the store.

use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

use crate::control_store::RolloutOrder;
use crate::control_store::StoredRollout;

/// The version of a row in the store; none if there is none.
#[derive(Debug, Clone, Copy)]
struct RowInStore(Option<StoreVersion>);

/// The order of a roll-out and its record.
///
/// A record answers an order if it was written later. Row versions tell that within one era of the
/// store only. So it is remembered: an order and a record that are read again in a later era, from whichever
/// rows, are to each other what they were.
#[derive(Debug, Default)]
pub(super) struct OrderAndRecord {
    order: Option<RolloutOrder>,
    stored: Option<StoredRollout>,
    /// The era in which the roll-out of the record was known first.
    record_since: StoreEra,
    /// Whether the record is later than the order; none while they are known from different eras only.
    is_record_later: Option<bool>,
    /// Where the store has come back from a copy without the record: what it has in its place.
    in_its_place: Option<RowInStore>,
}

impl OrderAndRecord {
    pub(super) fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    pub(super) fn order_version(&self) -> Option<StoreVersion> {
        self.order.as_ref().map(|order| order.row_version)
    }

    /// The record, whether it answers the order or not.
    pub(super) fn stored(&self) -> Option<&StoredRollout> {
        self.stored.as_ref()
    }

    /// The record, if it answers the order.
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
        match self.in_its_place {
            Some(RowInStore(version)) => version,
            None => self.stored.as_ref().map(|stored| stored.row_version),
        }
    }

    /// Whether the record has to be written again, as nobody but the entries knows of it: the store has lost
    /// it, or its order was written again, which to an entry that starts looks like a new one then.
    pub(super) fn is_to_be_stored_again(&self) -> bool {
        let is_order_later = |stored: &StoredRollout| {
            self.order_version().is_some_and(|order| stored.row_version < order)
        };
        self.current().is_some_and(|stored| self.in_its_place.is_some() || is_order_later(stored))
    }

    /// An order was read. Says whether it is another one than was known.
    pub(super) fn order_is(&mut self, order: RolloutOrder) -> bool {
        let is_known = self
            .order
            .as_ref()
            .is_some_and(|known| known.row_version == order.row_version || order.repeats(known));
        let is_another = self.order.is_some() && !is_known;
        let version = order.row_version;
        self.order = Some(order);
        if is_another && self.record_since < version.era {
            // The record may have been stored again after this order was written.
            self.is_record_later = self.stored.as_ref().map(|_| false);
        } else if !is_known || self.is_record_later.is_none() {
            let record = self.stored.as_ref().map(|stored| stored.row_version);
            self.is_record_later = record.and_then(|record| is_later(version, record));
        }
        !is_known
    }

    /// A record was read. One that is older than what is known changes nothing, nor does an earlier state of
    /// it that the store came back with.
    pub(super) fn record_is(&mut self, stored: StoredRollout) {
        let is_again_to_be_stored = self.is_to_be_stored_again();
        let known = self.stored.as_ref();
        if known.is_some_and(|known| stored.row_version <= known.row_version) {
            return;
        }
        let is_outlived = known.is_some_and(|known| {
            let is_restored = known.row_version.era < stored.row_version.era;
            (is_restored || is_again_to_be_stored) && known.record.supersedes(&stored.record)
        });
        let is_step = known.is_some_and(|known| known.record.is_same_rollout(&stored.record));
        if !is_outlived || self.is_record_later.is_none() {
            self.is_record_later = self.is_later_by_rows(stored.row_version, is_step);
        }
        if is_outlived {
            self.in_its_place = Some(RowInStore(Some(stored.row_version)));
            return;
        }
        if !is_step {
            self.record_since = stored.row_version.era;
        }
        self.in_its_place = None;
        self.stored = Some(stored);
    }

    /// Whether a record is later than the order, by the rows that both were read from. A step of the
    /// roll-out that is known is if that was; in the order's era also by its row.
    fn is_later_by_rows(&self, record: StoreVersion, is_step: bool) -> Option<bool> {
        let order = self.order_version()?;
        let was_later = self.is_record_later.filter(|_| is_step);
        match was_later {
            Some(false) if order.era != record.era => Some(false),
            Some(true) => Some(true),
            _ => is_later(order, record),
        }
    }

    /// All records were read at a version, and there is none.
    pub(super) fn no_record_is_there(&mut self, version: StoreVersion) {
        let known = self.stored.as_ref().map(|stored| stored.row_version);
        if known.is_some_and(|known| known.era < version.era) {
            self.in_its_place = Some(RowInStore(None));
            // Nothing says that it is not: a version that was given up stays so.
            self.is_record_later.get_or_insert(true);
        }
    }
}

/// Whether a record is later than an order; none if it was read in an earlier era.
fn is_later(order: StoreVersion, record: StoreVersion) -> Option<bool> {
    (order.era <= record.era).then_some(order < record)
}
