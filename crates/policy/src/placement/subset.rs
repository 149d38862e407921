//! The subset of upstreams that a gateway stays connected to.

use std::cmp::Reverse;

use stallhoist_core::HostId;
use stallhoist_core::ZoneName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An upstream host in the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// One of four members of a subset is in another availability zone, so that a gateway is
/// still connected to upstreams after the loss of its own zone.
const MEMBERS_PER_REMOTE_ONE: usize = 4;

/// Hosts in the order of their rendezvous hash with `key`. Adding or removing a host does not
/// change the order of the others.
pub fn rendezvous_order<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ordered: Vec<_> = hosts.into_iter().collect();
    ordered.sort_by_cached_key(|host| Reverse(xxh3_64_with_seed(host.as_str().as_bytes(), seed)));
    ordered
}

/// The upstreams of a target that gateway `me` in `zone` stays connected to: at most `size`,
/// most of them in its own zone. The result is deterministic, and adding or removing a host
/// changes few other members.
pub fn subset(me: &HostId, zone: &ZoneName, members: &[Member], size: usize) -> Vec<HostId> {
    let ordered_by_zone = |own: bool| {
        let hosts = members.iter().filter(|m| (&m.zone == zone) == own).map(|m| &m.host);
        rendezvous_order(me.as_str(), hosts)
    };
    let local = ordered_by_zone(true);
    let remote = ordered_by_zone(false);
    let remote_share = (size / MEMBERS_PER_REMOTE_ONE).max(1).min(remote.len());
    let local_count = local.len().min(size.saturating_sub(remote_share));
    let remote_count = remote.len().min(size - local_count);
    let chosen = local.into_iter().take(local_count).chain(remote.into_iter().take(remote_count));
    chosen.cloned().collect()
}
