//! The upstreams that an entry stays connected to.

use std::cmp::Reverse;

use stallhoist_core::HostId;
use stallhoist_core::ZoneName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An upstream host, as the host list gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Of each four places of a subset, one is kept for other zones, so that the loss of
/// a zone leaves the entry with upstreams it is already connected to.
const PLACES_PER_FOREIGN_ONE: usize = 4;

/// Hosts in the order of their rendezvous hash with `key`: a host's coming or going
/// moves no other.
pub fn rendezvous_order<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ordered: Vec<_> = hosts.into_iter().collect();
    ordered.sort_by_cached_key(|host| Reverse(xxh3_64_with_seed(host.as_str().as_bytes(), seed)));
    ordered
}

/// The upstreams of a target that entry `me` in `zone` stays connected to: at most
/// `size`, most of them in its own zone. The result depends on nothing but the
/// arguments, and hosts that come or go move few others.
pub fn subset(me: &HostId, zone: &ZoneName, members: &[Member], size: usize) -> Vec<HostId> {
    let of_zone = |own: bool| {
        let hosts = members.iter().filter(|m| (&m.zone == zone) == own).map(|m| &m.host);
        rendezvous_order(me.as_str(), hosts)
    };
    let near = of_zone(true);
    let far = of_zone(false);
    let far_share = (size / PLACES_PER_FOREIGN_ONE).max(1).min(far.len());
    let near_count = near.len().min(size.saturating_sub(far_share));
    let far_count = far.len().min(size - near_count);
    let chosen = near.into_iter().take(near_count).chain(far.into_iter().take(far_count));
    chosen.cloned().collect()
}
