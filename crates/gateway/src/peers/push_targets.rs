//! The peers to which a gateway sends periodic updates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

use super::list::PeerList;

/// A peer that has not responded is skipped for a while, as older data is of no use.
const SKIP_FOR: Duration = Duration::from_secs(2);

/// The peers to which a gateway sends periodic updates, less those that did not respond.
#[derive(Debug, Default)]
pub(super) struct PushTargets {
    skipped_until: HashMap<SocketAddr, MonoTime>,
}

impl PushTargets {
    /// The peers to update: the other relays if this gateway is a relay, else the first poll target that responds.
    /// With the first target only, a gateway whose relay had gone sent and received no updates for as long as that
    /// relay was listed.
    pub(super) fn select(&mut self, now: MonoTime, peers: &PeerList) -> Vec<(HostId, SocketAddr)> {
        self.skipped_until.retain(|_, until| now < *until);
        let is_responsive =
            |(_, addr): &(HostId, SocketAddr)| !self.skipped_until.contains_key(addr);
        let relays = peers.other_relays();
        if relays.is_empty() {
            return peers.poll_targets().into_iter().filter(is_responsive).take(1).collect();
        }
        relays.into_iter().filter(is_responsive).collect()
    }

    /// Skips a peer that did not respond.
    pub(super) fn skip(&mut self, now: MonoTime, addr: SocketAddr) {
        self.skipped_until.insert(addr, now.after(SKIP_FOR));
    }
}
