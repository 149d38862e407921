//! The upstreams that may be warming up, as one gateway knows them.

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

/// The upstreams that may be warming up, as one gateway knows them.
#[derive(Debug)]
pub struct ColdUpstreams {
    /// None where upstreams that warm up have no limit.
    bound: Option<ColdBound>,
    /// Upstreams not known to be warm. Mostly small: every choice looks up each candidate, and a record of
    /// every upstream tripled the CPU use of a gateway with 3,000 upstreams.
    by_incarnation: HashMap<UpstreamIncarnation, Record>,
}

impl ColdUpstreams {
    /// Starts without any upstream; without a bound, every quota is unbounded.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self { bound, by_incarnation: HashMap::new() }
    }

    /// Stores the warm-up time that an upstream has just reported, in a response or by a change of its row.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        reported: ReportedCold,
    ) {
        if self.bound.is_none() {
            return;
        }
        if reported == ReportedCold::For(Duration::ZERO) {
            self.by_incarnation.remove(incarnation);
            return;
        }
        self.by_incarnation.entry(incarnation.clone()).or_default().record_report(now, reported);
    }

    /// Stores the warm-up time in a row that may be older than the known state: a value equal to the last
    /// report does not restart the warm-up.
    pub fn record_row(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        reported: ReportedCold,
    ) {
        let known = self.by_incarnation.get(incarnation).map(Record::last_reported);
        if known != Some(reported) {
            self.record_report(now, incarnation, reported);
        }
    }

    /// Restarts the warm-up of an upstream whose availability zone operators have restored: it may have
    /// cooled down meanwhile.
    pub fn mark_back_in_use(&mut self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        if self.bound.is_some() {
            self.by_incarnation
                .entry(incarnation.clone())
                .or_insert_with(Record::warm)
                .mark_back_in_use(now);
        }
    }

    /// Whether this gateway, one of `fleet`, may send a request to an upstream of a service now.
    pub fn place(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        service: Option<&ColdService>,
        fleet: &Fleet,
    ) -> SendQuota {
        if self.by_incarnation.is_empty() {
            return SendQuota::Unbounded;
        }
        let (Some(bound), Some(service)) = (&self.bound, service) else {
            return SendQuota::Unbounded;
        };
        let Some(record) = self.by_incarnation.get(incarnation) else {
            return SendQuota::Unbounded;
        };
        let until = record.until(service);
        if now >= until {
            return SendQuota::Unbounded;
        }
        let rank = fleet.rank_for(now, UpstreamKey::of(incarnation), &record.rank);
        let share = rank.map_or(0, |rank| bound.share(service, rank));
        match record.sent.next_at(now, share, WINDOW) {
            Some(at) if at <= now => SendQuota::Free,
            Some(at) => SendQuota::FreeAt(at.min(until)),
            None => SendQuota::OthersUntil(until),
        }
    }

    /// Counts a request sent to an upstream.
    pub fn record_sent(&mut self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        if let Some(record) = self.by_incarnation.get_mut(incarnation) {
            record.record_sent(now);
        }
    }

    /// The upstreams that may be warming up.
    pub fn incarnations(&self) -> impl Iterator<Item = &UpstreamIncarnation> {
        self.by_incarnation.keys()
    }

    /// Drops upstreams for which `is_cold` is false: those that are warm or gone.
    pub fn retain(&mut self, mut is_cold: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_incarnation.retain(|incarnation, _| is_cold(incarnation));
    }
}
