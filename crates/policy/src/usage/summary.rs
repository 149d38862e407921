//! What gateways tell each other of the duty.

use stallhoist_core::StoreVersion;

use super::UsageWindow;
use crate::lease::LeaseRecord;

/// What gateways tell each other of the duty, so that all but the holder need not read the record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DutySummary {
    /// Version of the record's row.
    pub version: StoreVersion,
    /// The lease.
    pub lease: LeaseRecord,
    /// The last window that is fixed, or was left out.
    pub fixed_through: UsageWindow,
    /// The last window whose report, and all before it, were delivered or given up.
    pub sent_through: UsageWindow,
}

impl DutySummary {
    /// Whether it tells more than another one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version, self.sent_through) > (other.version, other.sent_through)
    }
}
