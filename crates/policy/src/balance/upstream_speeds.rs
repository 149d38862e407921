//! Speed of each upstream relative to its service, apart from its load, learned by all gateways together.
//!
//! Each gateway keeps the sum of its own observations, which decays, and the sums that peers sent last. A sum
//! of a peer replaces the previous one of that peer, so nothing counts twice. A new start of an upstream is
//! another incarnation, so it begins at normal speed.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use super::PacePercent;
use super::SpeedEvidence;
use super::UpstreamKey;
use super::speed_evidence::bounded_log;

/// Time in which own observations lose half of their weight.
const HALF_LIFE_S: f64 = 60.0;

/// Time to live of a peer's sum. A peer sends that of each upstream several times in it, also where it takes
/// turns among many upstreams.
const PEER_TTL: Duration = Duration::from_secs(30);

/// Interval between two searches for expired sums.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Bound on the upstreams that a peer's sums are kept for.
const MAX_UPSTREAMS: usize = 2_000;

#[derive(Debug, Clone)]
struct OwnSum {
    incarnation: UpstreamIncarnation,
    as_of: MonoTime,
    weight: f64,
    log: f64,
}

impl OwnSum {
    fn new(now: MonoTime, incarnation: &UpstreamIncarnation) -> Self {
        Self { incarnation: incarnation.clone(), as_of: now, weight: 0.0, log: 0.0 }
    }

    /// Share of the weight that is left at a later time.
    fn kept_share(&self, now: MonoTime) -> f64 {
        0.5_f64.powf(now.since(self.as_of).as_secs_f64() / HALF_LIFE_S)
    }

    fn add(&mut self, now: MonoTime, log: f64) {
        let kept = self.kept_share(now);
        self.as_of = now;
        self.weight = self.weight * kept + 1.0;
        self.log = self.log * kept + log;
    }

    fn evidence(&self, now: MonoTime) -> SpeedEvidence {
        let kept = self.kept_share(now);
        let (weight, log) = (self.weight * kept, self.log * kept);
        let whole = weight.round();
        let log_milli = if weight > 0.0 { log * whole / weight * 1e3 } else { 0.0 };
        SpeedEvidence { weight: whole as u32, log_milli: log_milli.round() as i32 }
    }
}

type PeerSums = HashMap<UpstreamKey, (MonoTime, SpeedEvidence)>;

/// Speed of each upstream relative to its service.
#[derive(Debug, Default)]
pub struct UpstreamSpeeds {
    own: HashMap<UpstreamKey, OwnSum>,
    by_host: HashMap<HostId, PeerSums>,
    peers_total: HashMap<UpstreamKey, SpeedEvidence>,
    next_expiry: MonoTime,
}

impl UpstreamSpeeds {
    /// Learns from one observation: the ratio of the observed to the expected duration at normal speed.
    /// Returns whether the ratio was a positive number.
    pub fn observe(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        slowdown: f64,
    ) -> bool {
        let Some(log) = bounded_log(slowdown) else {
            return false;
        };
        let new = || OwnSum::new(now, incarnation);
        self.own.entry(UpstreamKey::of(incarnation)).or_insert_with(new).add(now, log);
        true
    }

    /// Like [`observe`](Self::observe), for a short time at which the upstream reported this pace. A slow moment
    /// does not make it a slow upstream, so it counts only at a normal pace.
    pub fn observe_at_pace(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        slowdown: f64,
        pace: Option<PacePercent>,
    ) -> bool {
        pace.is_none_or(PacePercent::is_normal) && self.observe(now, incarnation, slowdown)
    }

    /// Duration of work at an upstream relative to one of normal speed.
    pub fn slowdown(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> f64 {
        self.evidence(now, incarnation).slowdown()
    }

    /// Evidence of all gateways on an upstream.
    pub fn evidence(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> SpeedEvidence {
        let key = UpstreamKey::of(incarnation);
        let peers = self.peers_total.get(&key).copied().unwrap_or_default();
        self.own_evidence(now, key).plus(peers)
    }

    /// Sums of the own evidence and that of the peers for which `included` holds, for at most `limit` upstreams.
    /// `turn` selects them; random turns reach all of them.
    pub fn sums(
        &self,
        now: MonoTime,
        turn: u64,
        limit: usize,
        included: impl Fn(&HostId) -> bool,
    ) -> HashMap<UpstreamKey, SpeedEvidence> {
        let known = self.own.len() + self.peers_total.len();
        let first = usize::try_from(turn % known.max(1) as u64).unwrap_or_default();
        let keys = self.own.keys().chain(self.peers_total.keys()).cycle().skip(first);
        let keys = keys.take(limit.min(known));
        let sums = keys.map(|key| (*key, self.sum(now, *key, &included)));
        sums.filter(|(_, sum)| !sum.is_empty()).collect()
    }

    fn sum(
        &self,
        now: MonoTime,
        key: UpstreamKey,
        included: impl Fn(&HostId) -> bool,
    ) -> SpeedEvidence {
        let peers = self.by_host.iter().filter(|(host, _)| included(host));
        let peers = peers.filter_map(|(_, sums)| sums.get(&key));
        peers.fold(self.own_evidence(now, key), |sum, (_, evidence)| sum.plus(*evidence))
    }

    fn own_evidence(&self, now: MonoTime, key: UpstreamKey) -> SpeedEvidence {
        self.own.get(&key).map(|sum| sum.evidence(now)).unwrap_or_default()
    }

    /// Replaces the sums of a peer for the upstreams in `sums`; keeps its others.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        host: &HostId,
        sums: impl IntoIterator<Item = (UpstreamKey, SpeedEvidence)>,
    ) {
        for (key, evidence) in sums {
            let evidence = evidence.bounded();
            if evidence.is_empty() {
                continue;
            }
            let kept = self.by_host.entry(host.clone()).or_default();
            if kept.len() >= MAX_UPSTREAMS && !kept.contains_key(&key) {
                continue;
            }
            let before = kept.insert(key, (now, evidence)).map(|(_, before)| before);
            let total = self.peers_total.entry(key).or_default();
            *total = total.minus(before.unwrap_or_default()).plus(evidence);
        }
    }

    /// Drops sums of peers that are past their time to live.
    pub fn expire(&mut self, now: MonoTime) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.after(EXPIRY_INTERVAL);
        let peers_total = &mut self.peers_total;
        self.by_host.retain(|_, sums| {
            sums.retain(|key, (received, evidence)| {
                let is_kept = now.since(*received) < PEER_TTL;
                if !is_kept && let Some(total) = peers_total.get_mut(key) {
                    *total = total.minus(*evidence);
                }
                is_kept
            });
            !sums.is_empty()
        });
        peers_total.retain(|_, total| !total.is_empty());
    }

    /// Drops own evidence on upstreams that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.own.retain(|_, sum| is_known(&sum.incarnation));
    }
}
