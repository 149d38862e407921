//! Which upstreams are asked about a request.

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;

use super::rendezvous_order;

/// Upstreams that a request is steered to: with a second one, what spills over from the
/// first is cached too.
const STEERED: usize = 2;

/// What steers the choice of whom to ask.
#[derive(Debug, Clone, Default)]
pub struct ProbePlan {
    /// How many are asked.
    pub probes: usize,
    /// Where the session's last answer came from.
    pub session_host: Option<HostId>,
    /// What steers equal requests together: the hash of the prompt's first block, or of
    /// the request where the prompt has no whole block.
    pub affinity_key: u64,
}

/// Chooses whom to ask: the session's last upstream, the two that the request is
/// steered to, then random ones. `usable` are the connected ones; none is asked twice.
pub fn plan_probes(plan: &ProbePlan, usable: &[HostId], rng: &mut impl Rng) -> Vec<HostId> {
    let mut asked: Vec<HostId> = Vec::with_capacity(plan.probes);
    if let Some(host) = &plan.session_host
        && usable.contains(host)
    {
        asked.push(host.clone());
    }
    let preferred = affinity_order(plan.affinity_key, usable).into_iter().take(STEERED);
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

/// The upstreams in the order in which a key is steered to them. The first is the one
/// that keeps a refused caller's place.
pub fn affinity_order(affinity_key: u64, usable: &[HostId]) -> Vec<&HostId> {
    rendezvous_order(&format!("steer {affinity_key:016x}"), usable)
}
