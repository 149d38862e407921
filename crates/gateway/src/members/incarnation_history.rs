//! The history of incarnations of upstreams, and the address of each.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use super::Member;
use super::MemberState;

/// How long an incarnation is kept after it was last known. A report of it may be delayed while its host is
/// cut off from the network; the delays seen were up to 10 s.
const HISTORY_TTL: Duration = Duration::from_secs(60);

/// An incarnation, and how it became known.
#[derive(Debug, Clone)]
struct SeenIncarnation {
    start: UpstreamIncarnation,
    addr: SocketAddr,
    /// The batch of changes in which it was first listed at its address.
    batch: u64,
    /// When it was removed from the directory.
    removed: Option<MonoTime>,
    /// Whether its row has announced its end.
    has_announced: bool,
}

impl SeenIncarnation {
    fn superseded(&self) -> Superseded {
        Superseded { start: self.start.clone(), is_planned: self.has_announced }
    }

    /// Orders two incarnations by start: by the reported times if both have one, otherwise by the batches in
    /// which they were first listed. One that is listed again by a delayed report keeps its batch.
    fn cmp_start(&self, other: &Self) -> Ordering {
        match (self.start.started, other.start.started) {
            (Some(own), Some(other)) => own.cmp(&other),
            _ => self.batch.cmp(&other.batch),
        }
    }
}

/// An incarnation that a later one has replaced, at its address or of the same upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Superseded {
    /// The replaced incarnation.
    pub start: UpstreamIncarnation,
    /// Whether it had announced its end.
    pub is_planned: bool,
}

/// The history of incarnations of upstreams, and the address of each.
///
/// An address belongs to one process. Where two incarnations are listed at one address, the earlier has
/// terminated: requests sent to it would reach the later one, which answers them without running any.
#[derive(Debug, Default)]
pub(super) struct IncarnationHistory {
    /// The latest incarnation of each upstream.
    latest: HashMap<InstanceId, SeenIncarnation>,
    /// The upstream at each address.
    by_address: HashMap<SocketAddr, InstanceId>,
    /// Upstreams removed from the directory, in the order of removal.
    removed: VecDeque<(MonoTime, InstanceId)>,
    batch: u64,
}

impl IncarnationHistory {
    /// Begins a batch: what is listed from now on is later than what was listed before.
    pub(super) fn next_batch(&mut self) {
        self.batch += 1;
    }

    /// Whether the row of an incarnation has announced its end.
    pub(super) fn has_announced(&self, incarnation: &UpstreamIncarnation) -> bool {
        let seen = self.latest.get(&incarnation.instance).filter(|seen| seen.start == *incarnation);
        seen.is_some_and(|seen| seen.has_announced)
    }

    /// The latest incarnation of an upstream that was listed.
    pub(super) fn latest(&self, instance: &InstanceId) -> Option<&UpstreamIncarnation> {
        self.latest.get(instance).map(|seen| &seen.start)
    }

    /// Records a listed incarnation. Returns the superseded ones: itself if a later one is known at its
    /// address, or else the previous one at the address; and an earlier incarnation of the same upstream.
    pub(super) fn record_listed(&mut self, member: &Member) -> Vec<Superseded> {
        let seen = self.record_of(member);
        let instance = member.start.instance.clone();
        let holder = self.holder(member.addr).filter(|holder| holder.start.instance != instance);
        let order = holder.map(|holder| seen.cmp_start(holder));
        let earlier_at_address = match (order, holder) {
            (Some(Ordering::Less), _) => Some(&seen),
            (Some(Ordering::Greater), Some(holder)) => Some(holder),
            _ => None,
        };
        let earlier = self.latest.get(&instance).filter(|earlier| {
            seen.start.is_later_than(&earlier.start) && earlier.start.started.is_some()
        });
        let superseded: Vec<_> = earlier_at_address
            .into_iter()
            .chain(earlier)
            .map(SeenIncarnation::superseded)
            .collect();
        self.latest.insert(instance.clone(), seen);
        if order != Some(Ordering::Less) {
            self.by_address.insert(member.addr, instance);
        }
        superseded
    }

    fn holder(&self, addr: SocketAddr) -> Option<&SeenIncarnation> {
        let holder = self.latest.get(self.by_address.get(&addr)?)?;
        (holder.addr == addr).then_some(holder)
    }

    /// The record of an incarnation; a new one if it was never listed at this address.
    fn record_of(&self, member: &Member) -> SeenIncarnation {
        let Member { start, addr, .. } = member;
        let known = self.latest.get(&start.instance);
        let known = known.filter(|seen| seen.start == *start && seen.addr == *addr);
        let batch = known.map_or(self.batch, |seen| seen.batch);
        let has_announced =
            member.state == MemberState::Draining || known.is_some_and(|seen| seen.has_announced);
        SeenIncarnation { start: start.clone(), addr: *addr, batch, removed: None, has_announced }
    }

    /// Notes that an upstream was removed from the directory.
    pub(super) fn record_removed(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(seen) = self.latest.get_mut(instance) {
            seen.removed = Some(now);
            self.removed.push_back((now, instance.clone()));
        }
    }

    /// Drops incarnations that were removed long ago.
    pub(super) fn expire(&mut self, now: MonoTime) {
        while let Some((removed, instance)) =
            self.removed.pop_front_if(|(removed, _)| now.since(*removed) >= HISTORY_TTL)
        {
            let is_back =
                self.latest.get(&instance).is_none_or(|seen| seen.removed != Some(removed));
            if is_back {
                continue;
            }
            if let Some(seen) = self.latest.remove(&instance)
                && self.by_address.get(&seen.addr) == Some(&instance)
            {
                self.by_address.remove(&seen.addr);
            }
        }
    }
}
