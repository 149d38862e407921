//! The bound on connections to one upstream, and the part of it that one gateway may use.

use stallhoist_core::MonoTime;

use crate::balance::UpstreamKey;
use crate::fleet_bound::Fleet;

/// Percentage of the accepted connections that is used. The rest covers connections that the upstream has not seen
/// closed yet, and gateways whose lists differ for a moment.
const USED_PERCENT: u32 = 90;

/// A gateway that its peers may not count yet takes the fleet to have at least this many others.
const MIN_PEERS_AT_START: u32 = 1;

/// Duration of a round. What is left over when connections are divided evenly goes to other gateways in each
/// round, so that none is without a part for long in a fleet of more gateways than connections.
const ROUND_US: u64 = 500_000;

/// Connections to one upstream, as one gateway knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownConnections {
    /// Connections of this gateway that peers may know of: the fewest during the latest updates.
    pub own: u32,
    /// Connections of all others. None if no peer has told its work lately.
    pub others: Option<u32>,
}

/// Connections that one upstream accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBound {
    used: u32,
}

impl ConnectionBound {
    /// The bound for an upstream that accepts `max_connections`.
    pub fn new(max_connections: u32) -> Self {
        let used = u64::from(max_connections) * u64::from(USED_PERCENT) / 100;
        Self { used: u32::try_from(used).unwrap_or(u32::MAX).max(1) }
    }

    /// Connections that this gateway, one of `fleet`, may have to the upstream at most.
    ///
    /// It may add its part of what is free to what peers know of it. As all do so, they stay within the bound
    /// together also before they know of each other's additions.
    pub fn limit(
        self,
        now: MonoTime,
        upstream: UpstreamKey,
        fleet: &Fleet,
        known: KnownConnections,
    ) -> u32 {
        let gateways = gateways(now, fleet);
        // An upstream that accepts fewer connections than there are gateways is used by one that has just started.
        let least = u32::from(!fleet.is_counted(now));
        self.divided(now, upstream, fleet, known, gateways).max(least)
    }

    fn divided(
        self,
        now: MonoTime,
        upstream: UpstreamKey,
        fleet: &Fleet,
        known: KnownConnections,
        gateways: u32,
    ) -> u32 {
        let others = if gateways == 1 { Some(known.others.unwrap_or(0)) } else { known.others };
        let Some(others) = others else {
            return part(self.used, gateways, now, upstream, fleet);
        };
        let free = self.used.saturating_sub(others.saturating_add(known.own));
        known.own.saturating_add(part(free, gateways, now, upstream, fleet))
    }
}

/// Number of gateways among which a bound is divided.
fn gateways(now: MonoTime, fleet: &Fleet) -> u32 {
    if fleet.is_counted(now) {
        return fleet.len().max(1);
    }
    fleet.len().max(MIN_PEERS_AT_START).saturating_add(1)
}

/// The part of this gateway in `total` connections.
fn part(total: u32, gateways: u32, now: MonoTime, upstream: UpstreamKey, fleet: &Fleet) -> u32 {
    let left_over = u64::from(total % gateways);
    let draw = fleet.draw(upstream, now.0 / ROUND_US) % u64::from(gateways);
    total / gateways + u32::from(draw < left_over)
}
