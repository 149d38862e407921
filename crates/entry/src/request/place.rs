//! Asking upstreams and choosing among them.

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

/// After the first answer, the others are waited for this much longer.
const LATE_PROBES: Duration = Duration::from_millis(2);

/// Chooses an upstream for an order. Those in `avoid` are asked only when there is
/// nobody else.
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
    let asked = plan_probes(&plan, &usable, &mut rand::rng());
    // With one to choose from there is nothing to ask: the sidecar decides on arrival.
    if let [only] = &asked[..] {
        return Choice::Send(only.clone());
    }
    let candidates = ask(shared, order, &asked).await;
    if candidates.is_empty() && !asked.is_empty() {
        // All silent within the time: the sidecar's own admission has the last word.
        return Choice::Send(asked[0].clone());
    }
    match choose(&candidates, &mut rand::rng()) {
        // A probe keeps no place. The one that the caller will be steered to when it comes
        // back gets the request all the same: it keeps a place, or has one by now.
        Choice::Refuse { .. } if avoid.is_empty() => {
            match affinity_order(affinity_key, &usable).first() {
                Some(host) => Choice::Send((*host).clone()),
                None => Choice::NoCandidate,
            }
        }
        choice => choice,
    }
}

async fn ask(shared: &Shared, order: &Order, asked: &[HostId]) -> Vec<Candidate> {
    let links = asked.iter().filter_map(|host| Some((host.clone(), shared.links.get(host)?)));
    let mut replies: FuturesUnordered<_> =
        links.map(|(host, link)| ask_one(shared, order, host, link)).collect();
    let mut patience = Duration::from_millis(shared.settings.placement.probe_timeout_ms);
    let mut candidates = Vec::with_capacity(asked.len());
    while let Ok(Some(reply)) = tokio::time::timeout(patience, replies.next()).await {
        candidates.extend(reply);
        if !candidates.is_empty() {
            patience = patience.min(LATE_PROBES);
        }
    }
    candidates
}

async fn ask_one(
    shared: &Shared,
    order: &Order,
    host: HostId,
    link: Arc<Link>,
) -> Option<Candidate> {
    let asked_at = Instant::now();
    let (probe_id, told) = link.waiters.lock().add_probe();
    let waiting = DropProbe { link: &link, probe_id };
    shared.metrics.probes.inc();
    link.try_send(Body::Probe(order.probe(probe_id, shared.now()))).ok()?;
    let reply = told.await.ok()?;
    drop(waiting);
    let retry_after = Duration::from_millis(reply.retry_after_ms);
    let refusal = NotRunReason::from_code(reply.refusal_reason);
    Some(Candidate {
        host,
        first_token: Duration::from_micros(reply.predicted_first_token_us),
        round_trip: asked_at.elapsed(),
        load_requests: reply.in_flight_requests + reply.queue_len_requests,
        refusal: refusal.map(|reason| (reason, retry_after)),
    })
}

/// Forgets a probe that nobody waits for any more.
struct DropProbe<'a> {
    link: &'a Link,
    probe_id: u64,
}

impl Drop for DropProbe<'_> {
    fn drop(&mut self) {
        self.link.waiters.lock().drop_probe(self.probe_id);
    }
}
