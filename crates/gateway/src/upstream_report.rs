//! What an upstream says of itself in an answer.

use std::time::Duration;

use stallhoist_policy::balance::ReportedLoad;
use stallhoist_policy::named_limits::NamedLimit;

/// What an upstream says of itself in an answer, whatever it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamReport {
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// How much longer it is cold.
    pub cold: Option<Duration>,
    /// How many requests it takes from all entries together.
    pub limit: NamedLimit,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// For how long it wants nothing from the entry that it answers.
    pub rest: Option<Duration>,
}
