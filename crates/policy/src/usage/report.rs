//! Usage reports.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::FencingToken;
use stallhoist_core::HostId;
use stallhoist_core::WorkspaceName;

use super::UsageWindow;

/// The usage of a window. Once it is in the stored record, it does not change any more.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// Requests of each workspace that upstreams began to run in it.
    pub counts: BTreeMap<WorkspaceName, u64>,
}

/// A call that delivers a report to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UsageCall {
    /// The host that holds the duty.
    pub host: HostId,
    /// The fencing token of the holder.
    pub epoch: FencingToken,
    /// The report.
    pub report: UsageReport,
}
