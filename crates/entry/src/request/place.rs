//! Probes upstream hosts and chooses one of them for a request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use stallhoist_core::HostId;
use stallhoist_core::NotRunReason;
use stallhoist_policy::placement::Candidate;
use stallhoist_policy::placement::Choice;
use stallhoist_policy::placement::ProbePlan;
use stallhoist_policy::placement::affinity_order;
use stallhoist_policy::placement::choose;
use stallhoist_policy::placement::plan_probes;
use stallhoist_wire::messages::frame::Body;

use super::Order;
use crate::mesh::Link;
use crate::shared::Shared;

/// How long to wait for further probe replies after the first one.
const LATE_PROBE_WAIT: Duration = Duration::from_millis(2);

/// Chooses an upstream host for an order. Hosts in `avoid` are used only if there are no others.
pub(crate) async fn place(shared: &Shared, order: &Order, avoid: &BTreeSet<HostId>) -> Choice {
    let connected = shared.links.usable(&order.target);
    let healthy = shared.ejection.lock().usable(shared.now(), &connected);
    let fresh: Vec<_> = healthy.iter().filter(|host| !avoid.contains(host)).cloned().collect();
    let usable = if fresh.is_empty() { healthy } else { fresh };
    let affinity_key = order.affinity_key();
    let plan = ProbePlan {
        probes: shared.settings.placement.probes,
        session_host: order.session_host.clone(),
        affinity_key,
    };
    let probed = plan_probes(&plan, &usable, &mut rand::rng());
    // A single host needs no probe: its sidecar decides on arrival.
    if let [only] = &probed[..] {
        return Choice::Send(only.clone());
    }
    let candidates = probe_all(shared, order, &probed).await;
    if candidates.is_empty() && !probed.is_empty() {
        // No reply in time: the sidecar's admission control decides on arrival.
        return Choice::Send(probed[0].clone());
    }
    match choose(&candidates, &mut rand::rng()) {
        // A probe reserves no slot. The request is sent all the same to the host that the caller's
        // retry will be routed to: that host reserves a slot for the retry, or has a free one by now.
        Choice::Refuse { .. } if avoid.is_empty() => {
            match affinity_order(affinity_key, &usable).first() {
                Some(host) => Choice::Send((*host).clone()),
                None => Choice::NoCandidate,
            }
        }
        choice => choice,
    }
}

async fn probe_all(shared: &Shared, order: &Order, probed: &[HostId]) -> Vec<Candidate> {
    let links = probed.iter().filter_map(|host| Some((host.clone(), shared.links.get(host)?)));
    let mut replies: FuturesUnordered<_> =
        links.map(|(host, link)| probe_one(shared, order, host, link)).collect();
    let mut wait = Duration::from_millis(shared.settings.placement.probe_timeout_ms);
    let mut candidates = Vec::with_capacity(probed.len());
    while let Ok(Some(reply)) = tokio::time::timeout(wait, replies.next()).await {
        candidates.extend(reply);
        if !candidates.is_empty() {
            wait = wait.min(LATE_PROBE_WAIT);
        }
    }
    candidates
}

async fn probe_one(
    shared: &Shared,
    order: &Order,
    host: HostId,
    link: Arc<Link>,
) -> Option<Candidate> {
    let sent_at = Instant::now();
    let (probe_id, reply) = link.waiters.lock().add_probe();
    let guard = ProbeGuard { link: &link, probe_id };
    shared.metrics.probes.inc();
    link.try_send(Body::Probe(order.probe(probe_id, shared.now()))).ok()?;
    let reply = reply.await.ok()?;
    drop(guard);
    let retry_after = Duration::from_millis(reply.retry_after_ms);
    let refusal = NotRunReason::from_code(reply.refusal_reason);
    Some(Candidate {
        host,
        first_token: Duration::from_micros(reply.predicted_first_token_us),
        round_trip: sent_at.elapsed(),
        load_requests: reply.in_flight_requests + reply.queue_len_requests,
        refusal: refusal.map(|reason| (reason, retry_after)),
    })
}

/// Unregisters a probe when its reply is no longer awaited.
struct ProbeGuard<'a> {
    link: &'a Link,
    probe_id: u64,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.link.waiters.lock().drop_probe(self.probe_id);
    }
}
