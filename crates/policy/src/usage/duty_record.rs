//! The stored record of the duty.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::StoreVersion;

use super::UsageReport;
use super::UsageWindow;
use crate::lease::LeaseRecord;

/// The stored record of the duty: the lease, and the reports that are fixed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The lease.
    pub lease: LeaseRecord,
    /// The last window that is fixed, or was left out.
    pub fixed_through: UsageWindow,
    /// The fixed reports that were not known to be delivered when this was written, in order.
    pub pending: Vec<UsageReport>,
}

/// A write of the record, which takes effect only if it still has the expected version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutyWrite {
    /// Version of the row that was read; none if there was none.
    pub expected: Option<StoreVersion>,
    /// The new record.
    pub record: DutyRecord,
    /// Number of windows that are left out, as their counts are not known or their reports overdue.
    pub left_out: u64,
}
