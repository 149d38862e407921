//! The limits that upstreams have named, as one entry knows them.

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

/// How long what is known of an upstream's limit is kept after the last word of it. Not until its
/// entry in the list goes, since that comes back after an outage of the store.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// The most upstreams of which others may tell, whatever they say.
const MAX_TOLD: usize = 2_000;

/// From so many requests a second on a limit bounds nothing: more than come to one upstream.
const BOUNDS_NOTHING_PER_S: f64 = 10_000.0;

/// The limits that upstreams have named, as one entry knows them.
///
/// | word | the limit is | as of |
/// | --- | --- | --- |
/// | an answer names one | that, unless it is larger and may be older than the last word | when the answer came |
/// | an answer names none | over, unless the answer may be older than the last word | when its request was sent |
/// | what it names cannot be read, or a refusal names none | as it was | as it was |
/// | another entry tells | what it tells, if that is as of later | as it tells |
#[derive(Debug, Default)]
pub struct NamedLimits {
    /// Those that have named one lately, few mostly: each choice looks for each upstream here.
    by_upstream: HashMap<UpstreamKey, Record>,
}

impl NamedLimits {
    /// An answer of an upstream to a request that was sent then came. Says whether another limit,
    /// or none, is known since.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        sent: MonoTime,
        named: NamedLimit,
    ) -> bool {
        let upstream = UpstreamKey::of(start);
        let limit = match named {
            NamedLimit::Unknown => return false,
            NamedLimit::Of(limit) if limit.per_s() < BOUNDS_NOTHING_PER_S => limit,
            NamedLimit::Of(_) | NamedLimit::Unsaid => {
                let record = self.by_upstream.get_mut(&upstream);
                return record.is_some_and(|record| record.named_none(now, sent));
            }
        };
        self.by_upstream.entry(upstream).or_default().named(now, sent, limit)
    }

    /// Another entry tells what it knows of an upstream, which may not be listed here yet. Says whether
    /// that is another limit.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
        told: LimitUpdate,
    ) -> bool {
        let has_room = self.by_upstream.len() < MAX_TOLD;
        match self.by_upstream.entry(upstream) {
            Entry::Occupied(mut known) => known.get_mut().apply_peer_update(now, told),
            Entry::Vacant(new) if told.limit.is_some() && has_room => {
                new.insert(Record::first_told(now, told));
                true
            }
            Entry::Vacant(_) => false,
        }
    }

    /// What other entries should know: what this one has learnt lately.
    pub fn peer_updates(&self, now: MonoTime) -> impl Iterator<Item = (UpstreamKey, LimitUpdate)> {
        let news = self.by_upstream.iter().filter(move |(_, record)| record.is_news(now));
        news.map(move |(upstream, record)| (*upstream, record.peer_updates(now)))
    }

    /// What an entry that starts should know: all limits that hold.
    pub fn startup_peer_updates(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (UpstreamKey, LimitUpdate)> {
        let hold = self.by_upstream.iter().filter(|(_, record)| record.limit().is_some());
        hold.map(move |(upstream, record)| (*upstream, record.peer_updates(now)))
    }

    /// Whether one of these entries may send a request to an upstream now.
    pub fn place(&self, now: MonoTime, start: &UpstreamIncarnation, fleet: &Fleet) -> SendQuota {
        if self.by_upstream.is_empty() {
            return SendQuota::Unbounded;
        }
        let upstream = UpstreamKey::of(start);
        let record = self.by_upstream.get(&upstream);
        record.map_or(SendQuota::Unbounded, |record| record.place(now, upstream, fleet))
    }

    /// A request is sent to an upstream.
    pub fn record_sent(&mut self, now: MonoTime, start: &UpstreamIncarnation) {
        if let Some(record) = self.by_upstream.get_mut(&UpstreamKey::of(start)) {
            record.record_sent(now);
        }
    }

    /// The limit of an upstream, if it has one.
    pub fn limit(&self, start: &UpstreamIncarnation) -> Option<RequestRate> {
        self.by_upstream.get(&UpstreamKey::of(start))?.limit()
    }

    /// How many upstreams have one.
    pub fn count(&self) -> usize {
        self.by_upstream.values().filter(|record| record.limit().is_some()).count()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_upstream.retain(|_, record| now.since(record.as_of()) < KEPT_FOR);
    }
}
