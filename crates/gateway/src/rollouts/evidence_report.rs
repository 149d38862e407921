//! Counts of one gateway on a rollout, as gateways exchange them.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::EvidenceTotals;

/// One run of a gateway's process, from start to end. Its counts start at zero and only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProcessRun(pub u64);

impl ProcessRun {
    /// A run that differs from all others with near certainty.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }
}

impl fmt::Display for ProcessRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ProcessRun {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Total counts of one run of a gateway since an order.
///
/// The same counts may arrive in several ways and in any order, so the receiver keeps the largest of each
/// run: a lower one is older, and not that of a gateway that has restarted.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceReport {
    /// The gateway that counted.
    pub host: HostId,
    /// The run of its process.
    pub run: ProcessRun,
    /// The service.
    pub service: ServiceName,
    /// The row version of the order: counts for another order do not apply.
    pub order_version: StoreVersion,
    /// The counts.
    pub totals: EvidenceTotals,
}

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportPath {
    /// From the gateway that counted.
    Direct,
    /// From a relay to which that gateway reports. It is not passed on again.
    PassedOn,
}
