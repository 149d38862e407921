//! The rate limits that upstreams have reported, as one gateway knows them.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestRate;
use stallhoist_core::UpstreamIncarnation;

use super::named_limit::NamedLimit;
use super::record::LimitUpdate;
use super::record::Record;
use crate::balance::UpstreamKey;
use crate::fleet_bound::Fleet;
use crate::fleet_bound::SendQuota;

/// Time to live of a limit after its last report. The record outlives the upstream's row in the list, as
/// rows disappear and come back around an outage of the store.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Upper bound on the number of records: updates from peers add none beyond it.
const MAX_FROM_PEERS: usize = 2_000;

/// A limit of this many requests per second or more counts as none: no upstream gets as many.
const UNBOUNDED_PER_S: f64 = 10_000.0;

/// The rate limits that upstreams have reported, as one gateway knows them.
///
/// | source | resulting limit | as of |
/// | --- | --- | --- |
/// | a response with a limit | that limit, unless it is larger and the response may be older than the state | arrival of the response |
/// | a response without a limit | none, unless the response may be older than the state | sending of its request |
/// | a limit that cannot be parsed, or a rejection without one | unchanged | unchanged |
/// | an update from a peer | the peer's, if its time is later | the peer's |
#[derive(Debug, Default)]
pub struct NamedLimits {
    /// Upstreams with a recent limit. Mostly small: every choice looks up each candidate.
    by_upstream: HashMap<UpstreamKey, Record>,
}

impl NamedLimits {
    /// Stores what a response to a request sent at `sent` reports of its upstream's limit. Returns whether
    /// the known limit has changed.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        sent: MonoTime,
        reported: NamedLimit,
    ) -> bool {
        let upstream = UpstreamKey::of(incarnation);
        let limit = match reported {
            NamedLimit::Unknown => return false,
            NamedLimit::Of(limit) if limit.per_s() < UNBOUNDED_PER_S => limit,
            NamedLimit::Of(_) | NamedLimit::Unsaid => {
                let record = self.by_upstream.get_mut(&upstream);
                return record.is_some_and(|record| record.record_no_limit(now, sent));
            }
        };
        self.by_upstream.entry(upstream).or_default().record_limit(now, sent, limit)
    }

    /// Merges an update from a peer, possibly on an upstream that is not listed here yet. Returns whether
    /// the known limit has changed.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
        update: LimitUpdate,
    ) -> bool {
        let has_room = self.by_upstream.len() < MAX_FROM_PEERS;
        match self.by_upstream.entry(upstream) {
            Entry::Occupied(mut known) => known.get_mut().apply_peer_update(now, update),
            Entry::Vacant(new) if update.limit.is_some() && has_room => {
                new.insert(Record::from_peer_update(now, update));
                true
            }
            Entry::Vacant(_) => false,
        }
    }

    /// Updates to send to peers: all that changed or were confirmed recently.
    pub fn peer_updates(&self, now: MonoTime) -> impl Iterator<Item = (UpstreamKey, LimitUpdate)> {
        let recent = self.by_upstream.iter().filter(move |(_, record)| record.is_recent(now));
        recent.map(move |(upstream, record)| (*upstream, record.peer_update(now)))
    }

    /// Updates to send to a peer that has just started: all limits that apply.
    pub fn startup_peer_updates(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (UpstreamKey, LimitUpdate)> {
        let limited = self.by_upstream.iter().filter(|(_, record)| record.limit().is_some());
        limited.map(move |(upstream, record)| (*upstream, record.peer_update(now)))
    }

    /// Whether this gateway, one of `fleet`, may send a request to an upstream now.
    pub fn place(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        fleet: &Fleet,
    ) -> SendQuota {
        if self.by_upstream.is_empty() {
            return SendQuota::Unbounded;
        }
        let upstream = UpstreamKey::of(incarnation);
        let record = self.by_upstream.get(&upstream);
        record.map_or(SendQuota::Unbounded, |record| record.place(now, upstream, fleet))
    }

    /// Counts a request sent to an upstream.
    pub fn record_sent(&mut self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        if let Some(record) = self.by_upstream.get_mut(&UpstreamKey::of(incarnation)) {
            record.record_sent(now);
        }
    }

    /// The rate limit of an upstream, if one applies.
    pub fn limit(&self, incarnation: &UpstreamIncarnation) -> Option<RequestRate> {
        self.by_upstream.get(&UpstreamKey::of(incarnation))?.limit()
    }

    /// Number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.by_upstream.values().filter(|record| record.limit().is_some()).count()
    }

    /// Drops limits whose time to live has passed.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_upstream.retain(|_, record| now.since(record.as_of()) < LIMIT_TTL);
    }
}
