//! How many requests a second all entries together send to a cold upstream.

use std::time::Duration;

use crate::fleet_bound::Rank;

/// The part of the bound that is used. The rest is for entries whose lists differ for a moment, of
/// which each adds one request a second, and for requests that are held up on their way and arrive
/// together with later ones.
const USED_SHARE: f64 = 0.9;

/// What a service's upstreams bear while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdService {
    /// How long an upstream is cold after a start, where it does not say so itself.
    pub after_start: Duration,
    /// Requests a second that one bears.
    pub per_s: f64,
}

/// What may come to a cold upstream beyond what it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// The bound is so many times what it bears.
    pub overage: f64,
    /// And so many requests besides.
    pub slack: f64,
    /// The most entries among which the requests of one upstream are divided. The more of them,
    /// the more of the requests that come anyway can use it; each needs at least one request a
    /// second for itself.
    pub max_owners: u32,
}

impl ColdBound {
    /// Requests that all entries together may send in one second to one upstream. At least one: a
    /// service whose upstreams are all cold is slow, but not down.
    pub fn fleet_per_s(&self, service: &ColdService) -> u32 {
        let bound = (service.per_s.max(0.0) * self.overage + self.slack) * USED_SHARE;
        (bound as u32).max(1)
    }

    /// What one entry may send in a second, by its rank among all.
    pub fn share(&self, service: &ColdService, rank: Rank) -> u32 {
        rank.share(self.fleet_per_s(service), self.max_owners)
    }
}
