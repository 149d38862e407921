//! The set of connections to sidecars, which follows the host list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;
use stallhoist_core::HostId;
use stallhoist_core::Target;
use stallhoist_platform::HostEntry;
use stallhoist_platform::HostRole;
use stallhoist_platform::HostState;
use stallhoist_policy::placement::Member;
use stallhoist_policy::placement::subset;
use stallhoist_wire::messages::frame::Body;

use super::Link;
use crate::shared::Shared;

/// All connections by their host, and the host list that they follow.
#[derive(Debug, Default)]
pub(crate) struct Links {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_host: BTreeMap<HostId, Arc<Link>>,
    hosts: Vec<HostEntry>,
}

impl Links {
    pub(crate) fn get(&self, host: &HostId) -> Option<Arc<Link>> {
        self.inner.read().by_host.get(host).cloned()
    }

    pub(crate) fn all(&self) -> Vec<(HostId, Arc<Link>)> {
        let inner = self.inner.read();
        inner.by_host.iter().map(|(host, link)| (host.clone(), Arc::clone(link))).collect()
    }

    /// The host list as last read.
    pub(crate) fn hosts(&self) -> Vec<HostEntry> {
        self.inner.read().hosts.clone()
    }

    /// The connected upstream hosts of a target that are not known to be leaving.
    pub(crate) fn usable(&self, target: &Target) -> Vec<HostId> {
        let inner = self.inner.read();
        let is_leaving = |host: &HostId| {
            let listed = inner.hosts.iter().find(|entry| &entry.host == host);
            listed.is_some_and(|entry| entry.state == HostState::Leaving)
        };
        let serves =
            |link: &Link| link.with_connection(|c| !c.is_leaving && c.serves.contains(target));
        let usable = inner.by_host.iter().filter(|(_, link)| serves(link) == Some(true));
        usable.map(|(host, _)| host.clone()).filter(|host| !is_leaving(host)).collect()
    }

    /// Sends a message on all connections whose send queue is not full.
    pub(crate) fn broadcast(&self, body: &Body) {
        for link in self.inner.read().by_host.values() {
            let _ = link.try_send(body.clone());
        }
    }

    /// Opens and closes connections so that they match the host list.
    pub(crate) fn reconcile(&self, shared: &Arc<Shared>, hosts: Vec<HostEntry>) {
        let wanted = wanted(shared, &hosts);
        let mut inner = self.inner.write();
        inner.by_host.retain(|host, link| {
            let is_kept = wanted.get(host) == Some(&link.addr);
            if !is_kept {
                link.close();
            }
            is_kept
        });
        for (host, addr) in wanted {
            inner.by_host.entry(host).or_insert_with(|| open(shared, addr));
        }
        inner.hosts = hosts;
    }

    /// Connects to the seed addresses in the settings, which are used until the host list has been
    /// read. Their host ids are not known yet and are derived from the addresses.
    pub(crate) fn connect_seeds(&self, shared: &Arc<Shared>) {
        let mut inner = self.inner.write();
        for seed in &shared.settings.placement.seed_addrs {
            let (Ok(addr), Ok(host)) = (seed.parse(), format!("seed-{seed}").parse()) else {
                continue;
            };
            inner.by_host.insert(host, open(shared, addr));
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for link in self.inner.read().by_host.values() {
            link.close();
        }
    }
}

fn open(shared: &Arc<Shared>, addr: SocketAddr) -> Arc<Link> {
    let link = Arc::new(Link::new(addr));
    tokio::spawn(Arc::clone(&link).run(Arc::clone(shared)));
    link
}

/// The upstream hosts to connect to: a subset for each target. Includes hosts that are leaving, since
/// requests may still run there.
fn wanted(shared: &Shared, hosts: &[HostEntry]) -> BTreeMap<HostId, SocketAddr> {
    let upstreams: Vec<_> = hosts.iter().filter(|h| h.role == HostRole::Upstream).collect();
    let targets: BTreeSet<_> = upstreams.iter().flat_map(|host| &host.serves).collect();
    let mut chosen = BTreeSet::new();
    for target in targets {
        let members: Vec<_> = upstreams
            .iter()
            .filter(|host| host.serves.contains(target))
            .map(|host| Member { host: host.host.clone(), zone: host.zone.clone() })
            .collect();
        let size = shared.settings.placement.subset_size;
        let local = &shared.identity;
        chosen.extend(subset(&local.host, &local.zone, &members, size));
    }
    let listed = upstreams.iter().filter(|host| chosen.contains(&host.host));
    listed.filter_map(|host| Some((host.host.clone(), host.address.parse().ok()?))).collect()
}
