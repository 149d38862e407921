//! Which starts of upstreams there have been, and which one has which address.

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

/// How long a start is remembered after it was known last. A report of it may be held up while
/// its host is cut off; those that were seen came within 10 s.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// A start of an upstream, and how it came to be known.
#[derive(Debug, Clone)]
struct Seen {
    start: UpstreamIncarnation,
    addr: SocketAddr,
    /// The batch of news in which it was listed first at its address.
    batch: u64,
    /// Since when it is no longer known.
    left: Option<MonoTime>,
    /// Whether its row has said that it leaves.
    has_announced: bool,
}

impl Seen {
    fn superseded(&self) -> Superseded {
        Superseded { start: self.start.clone(), is_planned: self.has_announced }
    }

    /// Which one started later, as far as it can be said: by what they say if both do, else by
    /// which was listed first later. One that is listed again, since a report of it was held up,
    /// keeps its place.
    fn by_time(&self, other: &Self) -> Ordering {
        match (self.start.started, other.start.started) {
            (Some(own), Some(other)) => own.cmp(&other),
            _ => self.batch.cmp(&other.batch),
        }
    }
}

/// A start of an upstream in whose place a later one is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Superseded {
    /// The start.
    pub start: UpstreamIncarnation,
    /// Whether it had said that it leaves.
    pub is_planned: bool,
}

/// Which starts of upstreams there have been, and which one has which address.
///
/// An address is that of one process. Where two starts are listed at one, the earlier is over:
/// the later one would answer each request that is sent to it, and run none.
#[derive(Debug, Default)]
pub(super) struct IncarnationHistory {
    /// The latest start of each upstream.
    latest: HashMap<InstanceId, Seen>,
    /// Who has an address.
    holders: HashMap<SocketAddr, InstanceId>,
    /// Those that are no longer known, in the order in which they left.
    left: VecDeque<(MonoTime, InstanceId)>,
    batch: u64,
}

impl IncarnationHistory {
    /// What is listed from now on came later than what was listed before.
    pub(super) fn next_batch(&mut self) {
        self.batch += 1;
    }

    /// Whether the row of a start has said that it leaves.
    pub(super) fn has_announced(&self, start: &UpstreamIncarnation) -> bool {
        let seen = self.latest.get(&start.instance).filter(|seen| seen.start == *start);
        seen.is_some_and(|seen| seen.has_announced)
    }

    /// The latest start of an upstream that was listed.
    pub(super) fn latest(&self, instance: &InstanceId) -> Option<&UpstreamIncarnation> {
        self.latest.get(instance).map(|seen| &seen.start)
    }

    /// A start is listed. Gives those that are over by that: it itself, if a later one is known
    /// at its address, or the one that had the address before, and an earlier start of the same upstream.
    pub(super) fn listed(&mut self, member: &Member) -> Vec<Superseded> {
        let seen = self.seen(member);
        let instance = member.start.instance.clone();
        let holder = self.holder(member.addr).filter(|holder| holder.start.instance != instance);
        let order = holder.map(|holder| seen.by_time(holder));
        let by_address = match (order, holder) {
            (Some(Ordering::Less), _) => Some(&seen),
            (Some(Ordering::Greater), Some(holder)) => Some(holder),
            _ => None,
        };
        let earlier = self.latest.get(&instance).filter(|earlier| {
            seen.start.is_later_than(&earlier.start) && earlier.start.started.is_some()
        });
        let over: Vec<_> = by_address.into_iter().chain(earlier).map(Seen::superseded).collect();
        self.latest.insert(instance.clone(), seen);
        if order != Some(Ordering::Less) {
            self.holders.insert(member.addr, instance);
        }
        over
    }

    fn holder(&self, addr: SocketAddr) -> Option<&Seen> {
        let holder = self.latest.get(self.holders.get(&addr)?)?;
        (holder.addr == addr).then_some(holder)
    }

    /// What is remembered of a start; it is new if it was never listed at this address.
    fn seen(&self, member: &Member) -> Seen {
        let Member { start, addr, .. } = member;
        let known = self.latest.get(&start.instance);
        let known = known.filter(|seen| seen.start == *start && seen.addr == *addr);
        let batch = known.map_or(self.batch, |seen| seen.batch);
        let has_announced =
            member.state == MemberState::Draining || known.is_some_and(|seen| seen.has_announced);
        Seen { start: start.clone(), addr: *addr, batch, left: None, has_announced }
    }

    /// An upstream is no longer known.
    pub(super) fn left(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(seen) = self.latest.get_mut(instance) {
            seen.left = Some(now);
            self.left.push_back((now, instance.clone()));
        }
    }

    /// Forgets starts that have not been known for long.
    pub(super) fn expire(&mut self, now: MonoTime) {
        while let Some((left, instance)) =
            self.left.pop_front_if(|(left, _)| now.since(*left) >= REMEMBERED_FOR)
        {
            let is_back = self.latest.get(&instance).is_none_or(|seen| seen.left != Some(left));
            if is_back {
                continue;
            }
            if let Some(seen) = self.latest.remove(&instance)
                && self.holders.get(&seen.addr) == Some(&instance)
            {
                self.holders.remove(&seen.addr);
            }
        }
    }
}
