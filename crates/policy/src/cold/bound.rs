//! The fleet-wide request rate for an upstream that is warming up.

use std::time::Duration;

use crate::fleet_bound::Rank;

/// The fraction of the bound that is used. The rest covers gateways whose lists differ for a moment, each
/// of which adds one request per second, and delayed requests that arrive together with later ones.
const USED_SHARE: f64 = 0.9;

/// Capacity of a service's upstreams while they warm up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdService {
    /// Warm-up time after a start, used where an upstream does not report its own.
    pub after_start: Duration,
    /// Requests per second that one upstream can handle while it warms up.
    pub per_s: f64,
}

/// How far the fleet may exceed the capacity of an upstream that is warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiplier on the upstream's capacity.
    pub overage: f64,
    /// Requests per second on top of the multiplied capacity.
    pub slack: f64,
    /// The most gateways that share the rate of one upstream. More of them let more of the existing
    /// traffic use the rate, but each needs a share of at least one request per second.
    pub max_owners: u32,
}

impl ColdBound {
    /// Requests per second that all gateways together may send to one upstream. At least 1, so that a
    /// service whose upstreams are all warming up is slow but available.
    pub fn fleet_per_s(&self, service: &ColdService) -> u32 {
        let bound = (service.per_s.max(0.0) * self.overage + self.slack) * USED_SHARE;
        (bound as u32).max(1)
    }

    /// Requests per second that the gateway of this rank may send.
    pub fn share(&self, service: &ColdService, rank: Rank) -> u32 {
        rank.share(self.fleet_per_s(service), self.max_owners)
    }
}
