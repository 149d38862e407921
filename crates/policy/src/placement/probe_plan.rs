//! Which upstreams are probed for a request.

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;

use super::rendezvous_order;

/// The number of upstreams that an affinity key prefers. With a second one, requests that
/// overflow from the first find their prefix cached too.
const AFFINITY_UPSTREAMS: usize = 2;

/// Inputs of the choice of upstreams to probe.
#[derive(Debug, Clone, Default)]
pub struct ProbePlan {
    /// The number of probes.
    pub probes: usize,
    /// The host of the session's last response.
    pub session_host: Option<HostId>,
    /// The affinity key: the hash of the prompt's first block, or of the request if the prompt
    /// has no whole block.
    pub affinity_key: u64,
}

/// Chooses the upstreams to probe: the session's last one, the two that the affinity key
/// prefers, then random ones. `usable` are the connected upstreams; none is chosen twice.
pub fn plan_probes(plan: &ProbePlan, usable: &[HostId], rng: &mut impl Rng) -> Vec<HostId> {
    let mut asked: Vec<HostId> = Vec::with_capacity(plan.probes);
    if let Some(host) = &plan.session_host
        && usable.contains(host)
    {
        asked.push(host.clone());
    }
    let preferred = affinity_order(plan.affinity_key, usable).into_iter().take(AFFINITY_UPSTREAMS);
    let new: Vec<_> = preferred.filter(|host| !asked.contains(host)).cloned().collect();
    asked.extend(new);
    asked.truncate(plan.probes);
    let mut others: Vec<_> = usable.iter().filter(|host| !asked.contains(host)).collect();
    while asked.len() < plan.probes && !others.is_empty() {
        let at = rng.random_range(0..others.len());
        asked.push(others.swap_remove(at).clone());
    }
    asked
}

/// The upstreams in the order of preference of an affinity key. The first one holds the
/// reservation of a rejected request.
pub fn affinity_order(affinity_key: u64, usable: &[HostId]) -> Vec<&HostId> {
    rendezvous_order(&format!("steer {affinity_key:016x}"), usable)
}
