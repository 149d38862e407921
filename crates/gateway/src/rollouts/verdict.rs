//! What an entry has concluded of a roll-out.

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;

/// The new version of an order is bad.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The service.
    pub service: ServiceName,
    /// The version of the order's row: a verdict on another order is of no use.
    pub order_version: StoreVersion,
}
