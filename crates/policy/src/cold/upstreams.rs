//! The upstreams that may be cold, as one entry knows them.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use super::bound::ColdBound;
use super::bound::ColdService;
use super::record::Record;
use super::record::ReportedCold;
use super::record::WINDOW;
use crate::balance::UpstreamKey;
use crate::fleet_bound::Fleet;
use crate::fleet_bound::SendQuota;

/// The upstreams that may be cold, as one entry knows them.
#[derive(Debug)]
pub struct ColdUpstreams {
    /// None where nothing bounds what comes to a cold upstream.
    bound: Option<ColdBound>,
    /// Those that are not known to be warm, few mostly: each choice looks for each upstream here. With a
    /// record of each, an entry before 3,000 upstreams used three times the processor.
    by_start: HashMap<UpstreamIncarnation, Record>,
}

impl ColdUpstreams {
    /// None is known yet.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self { bound, by_start: HashMap::new() }
    }

    /// An upstream has just said how long it is cold, in an answer or by a change of its entry in
    /// the list.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        told: ReportedCold,
    ) {
        if self.bound.is_none() {
            return;
        }
        if told == ReportedCold::For(Duration::ZERO) {
            self.by_start.remove(start);
            return;
        }
        self.by_start.entry(start.clone()).or_default().record_report(now, told);
    }

    /// An upstream's entry was read, which may be older than what was known: the same words as
    /// before do not make it cold once more.
    pub fn record_row(&mut self, now: MonoTime, start: &UpstreamIncarnation, told: ReportedCold) {
        let known = self.by_start.get(start).map(Record::last_told);
        if known != Some(told) {
            self.record_report(now, start, told);
        }
    }

    /// Operators have taken an upstream back into use, for which it may have turned cold.
    pub fn mark_back_in_use(&mut self, now: MonoTime, start: &UpstreamIncarnation) {
        if self.bound.is_some() {
            self.by_start.entry(start.clone()).or_insert_with(Record::warm).mark_back_in_use(now);
        }
    }

    /// Whether one of these entries may send a request to an upstream of a service now.
    pub fn place(
        &self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        service: Option<&ColdService>,
        fleet: &Fleet,
    ) -> SendQuota {
        if self.by_start.is_empty() {
            return SendQuota::Unbounded;
        }
        let (Some(bound), Some(service)) = (&self.bound, service) else {
            return SendQuota::Unbounded;
        };
        let Some(record) = self.by_start.get(start) else {
            return SendQuota::Unbounded;
        };
        let until = record.until(service);
        if now >= until {
            return SendQuota::Unbounded;
        }
        let rank = fleet.rank_for(now, UpstreamKey::of(start), &record.rank);
        let share = rank.map_or(0, |rank| bound.share(service, rank));
        match record.sent.next_at(now, share, WINDOW) {
            Some(at) if at <= now => SendQuota::Free,
            Some(at) => SendQuota::FreeAt(at.min(until)),
            None => SendQuota::OthersUntil(until),
        }
    }

    /// A request is sent to an upstream.
    pub fn record_sent(&mut self, now: MonoTime, start: &UpstreamIncarnation) {
        if let Some(record) = self.by_start.get_mut(start) {
            record.record_sent(now);
        }
    }

    /// Those that may be cold.
    pub fn incarnations(&self) -> impl Iterator<Item = &UpstreamIncarnation> {
        self.by_start.keys()
    }

    /// Forgets upstreams that are warm or gone.
    pub fn retain(&mut self, mut is_cold: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_start.retain(|start, _| is_cold(start));
    }
}
