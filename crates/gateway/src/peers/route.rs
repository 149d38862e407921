//! The state of polling one feed: the current connection and the peers that are skipped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::connection::Connection;

/// How long a peer without a fresh response is skipped.
const SKIP_FOR: Duration = Duration::from_secs(8);

/// All pollers of a relay lose it at the same moment: it ends, or the store is away for it and its copies are stale.
/// They turn to the others over this time for each listed gateway, so that the connections that a relay must accept in a
/// second do not grow with the fleet. From 500 gateways on `MAX_SWITCH_TIME` bounds the delay of changes instead: with
/// 1,000 gateways a relay must accept twice as many in a second.
const SWITCH_TIME_PER_GATEWAY: Duration = Duration::from_millis(2);
const MAX_SWITCH_TIME: Duration = Duration::from_secs(1);

/// How long one of `gateways` waits before it turns from one relay to another; `unit` is random, from 0 to 1.
pub fn switch_pause(gateways: usize, unit: f64) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let switch_time = SWITCH_TIME_PER_GATEWAY.saturating_mul(gateways).min(MAX_SWITCH_TIME);
    switch_time.mul_f64(unit)
}

/// What the follower of one feed knows about its peers.
#[derive(Debug, Default)]
pub(super) struct Route {
    /// Connection to the peer polled last.
    pub(super) connection: Option<(SocketAddr, Connection)>,
    /// Until then the store is queried directly.
    pub(super) direct_until: MonoTime,
    pub(super) skipped_until: HashMap<SocketAddr, MonoTime>,
    /// Until then no other peer is polled.
    pub(super) paused_until: MonoTime,
}

impl Route {
    /// Whether a peer is skipped at present.
    pub(super) fn is_skipped(&self, now: MonoTime, addr: SocketAddr) -> bool {
        self.skipped_until.get(&addr).is_some_and(|until| now < *until)
    }

    /// Turns away from a peer that stops, and pauses before the next one is polled.
    pub(super) fn leave(&mut self, now: MonoTime, addr: SocketAddr, pause: Duration) {
        self.skip(now, addr);
        self.paused_until = now.after(pause);
    }

    /// Skips a peer that gave no fresh response.
    pub(super) fn skip(&mut self, now: MonoTime, addr: SocketAddr) {
        self.connection = None;
        self.skipped_until.insert(addr, now.after(SKIP_FOR));
    }
}
