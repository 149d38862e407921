//! What an upstream reports about itself in a response.

use std::time::Duration;

use stallhoist_policy::balance::ReportedLoad;
use stallhoist_policy::named_limits::NamedLimit;

/// What an upstream reports about itself in any response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamReport {
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Remaining time of its warm-up.
    pub cold: Option<Duration>,
    /// The request rate that it accepts from all gateways together.
    pub limit: NamedLimit,
    /// Whether it is about to terminate.
    pub is_leaving: bool,
    /// The back-off that it requests from the receiving gateway.
    pub rest: Option<Duration>,
}
