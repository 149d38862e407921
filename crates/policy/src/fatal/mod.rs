//! Tracks requests that crash the upstreams that run them ("queries of death").
//!
//! All requests on an upstream break when it crashes, and one of them may be the cause. What is known
//! of a request and what it proves:
//!
//! | observation | proves | state of the request | how long |
//! | --- | --- | --- | --- |
//! | its stream broke, the upstream is still there | nothing: connections are cut | unchanged | |
//! | the same, and within 6 s this incarnation turns out to have terminated without announcing it | same as a crash seen at once | suspect | as below |
//! | an upstream crashed while it ran the request | one of the requests on it is the cause | suspect | until a complete response; a day |
//! | another request on it is quarantined, with more crashes | the other request is the cause | this crash does not count against it | while the other is quarantined |
//! | three crashes, not all explained by another request | it is the cause, or ran with such requests each time | quarantined | until its trial |
//! | a crash of the upstream that ran its trial | it is the cause | quarantined | permanently (stored row) |
//! | a complete response to any attempt at any gateway | it is not the cause | cleared | until the next crash |
//!
//! Suspects are still sent, as requests that merely ran together with a fatal one are harmless. Each
//! goes to the upstream chosen by a hash of the request. So requests that broke together are separated,
//! and the next crash tells the fatal one from the others; and gateways that send the same request at
//! the same moment lose one upstream in total, not one each.
//!
//! Gateways exchange crashes and complete responses as pairs of a request and an upstream. Merging is
//! idempotent and independent of order. The number of trials must be agreed on, so it is counted in the
//! store, by writes that require that the row has not changed.
//!
//! Read `request_state` first, then `record`, `assessment`, `broken_streams`, `trials` and `stored`.

mod assessment;
mod broken_streams;
mod config;
mod record;
mod request_state;
mod response_progress;
mod stored;
mod trials;

use std::collections::BTreeSet;
use std::collections::HashMap;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;

use broken_streams::BrokenStreams;
pub use config::FatalConfig;
use record::Crash;
use record::Record;
pub use request_state::Disposition;
pub use request_state::FatalChange;
pub use request_state::FatalRecord;
use request_state::RequestState;
use request_state::Suspect;
pub use response_progress::ResponsePhase;
pub use response_progress::ResponseProgress;

use crate::balance::UpstreamKey;

/// A peer update: an upstream crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashUpdate {
    /// The request.
    pub request: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the request has had a complete response since, so that the crash does not count.
    pub is_cleared: bool,
}

/// Tracks requests under which upstreams crashed.
#[derive(Debug, Default)]
pub struct FatalRequests {
    config: FatalConfig,
    records: HashMap<RequestFingerprint, Record>,
    /// The requests that ran on each crashed upstream, as far as their crashes count.
    co_running: HashMap<UpstreamKey, BTreeSet<RequestFingerprint>>,
    /// Local broken streams whose cause is not known yet.
    broken_streams: BrokenStreams,
}

impl FatalRequests {
    /// Creates an empty tracker.
    pub fn new(config: FatalConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether there are broken streams whose cause is not known yet.
    pub fn has_unexplained_broken_streams(&self) -> bool {
        !self.broken_streams.is_empty()
    }

    /// How a request may be handled now.
    pub fn disposition(&self, now: MonoTime, request: RequestFingerprint) -> Disposition {
        let Some(record) = self.records.get(&request) else {
            return Disposition::Free;
        };
        let held = match record.state {
            RequestState::Cleared(_) => return Disposition::Free,
            RequestState::Suspect(_) => return Disposition::Suspect,
            RequestState::Trying(trying) if now < trying.until() => {
                return Disposition::HeldBack { due: Some(trying.until()) };
            }
            RequestState::Trying(trying) => trying.end(trying.until()),
            RequestState::HeldBack(held) => held,
        };
        match held.next_trial_at(&self.config) {
            Some(due) if now >= due && record.row.is_some() => Disposition::MayTry,
            due => Disposition::HeldBack { due },
        }
    }

    /// Records the crash of an upstream while it ran a request at this gateway. Returns whether it is
    /// new.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        upstream: UpstreamKey,
    ) -> bool {
        !self.record_crashes(now, [request], upstream).is_empty()
    }

    /// Records a crash for several requests on the upstream and assesses them together, once. Returns
    /// the requests for which it is new.
    fn record_crashes(
        &mut self,
        now: MonoTime,
        requests: impl IntoIterator<Item = RequestFingerprint>,
        upstream: UpstreamKey,
    ) -> Vec<RequestFingerprint> {
        let mut affected = Vec::new();
        let mut new = Vec::new();
        for request in requests {
            if let Some(record) = self.records.get_mut(&request)
                && let RequestState::Trying(trying) = record.state
            {
                record.state = RequestState::HeldBack(trying.held().proved_fatal(&self.config));
            }
            let update = CrashUpdate { request, upstream, is_cleared: false };
            if self.add_crash(now, update, &mut affected) {
                new.push(request);
            }
        }
        self.reassess(now, affected);
        new
    }

    /// Records that the response stream of a request broke; the upstream may have crashed.
    pub fn record_broken_stream(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        upstream: UpstreamKey,
    ) {
        self.broken_streams.record_broken_stream(now, request, upstream);
    }

    /// Records that an upstream has terminated, from whatever source: its recent broken streams are
    /// attributed to that. Returns the requests for which the crash is new.
    pub fn record_termination(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
    ) -> Vec<RequestFingerprint> {
        let broken = self.broken_streams.take_recent(now, upstream);
        self.record_crashes(now, broken, upstream)
    }

    /// Records a complete response. Returns whether the request had crashes against it.
    pub fn answered(&mut self, now: MonoTime, request: RequestFingerprint) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if record.state.is_cleared() {
            return false;
        }
        let upstreams: Vec<_> = record.crashed_upstreams().collect();
        record.clear(now);
        let mut affected = Vec::new();
        self.dismiss_crashes(request, &upstreams, &mut affected);
        self.reassess(now, affected);
        true
    }

    /// Merges crashes received from a peer and returns how many are new. They are assessed together,
    /// once: when many upstreams crash, a message has tens of crashes that depend on each other.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        updates: impl IntoIterator<Item = CrashUpdate>,
    ) -> usize {
        let mut affected = Vec::new();
        let mut new = 0;
        for update in updates {
            new += usize::from(self.add_crash(now, update, &mut affected));
        }
        self.reassess(now, affected);
        new
    }

    /// Adds a crash and appends the requests that it affects. Returns whether it is new.
    fn add_crash(
        &mut self,
        now: MonoTime,
        update: CrashUpdate,
        affected: &mut Vec<RequestFingerprint>,
    ) -> bool {
        let CrashUpdate { request, upstream, is_cleared } = update;
        if !self.has_room(&update) {
            return false;
        }
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        match record.ends().get(&upstream) {
            Some(crash) if !crash.counts || !is_cleared => return false,
            _ => {}
        }
        // A request that is known only by its row is not cleared by an update on a crash that was never
        // known here.
        let is_known_by_row = record.row.is_some() && !record.has_counted_crash(upstream);
        record.set_crash(upstream, Crash { learnt_at: now, counts: !is_cleared });
        record.changed_at = now;
        if is_cleared {
            if record.crash_count() == 0 && !is_known_by_row {
                record.clear(now);
            }
            self.dismiss_crashes(request, &[upstream], affected);
        } else {
            if record.state.is_cleared() {
                record.state = RequestState::Suspect(Suspect);
            }
            self.co_running.entry(upstream).or_default().insert(request);
        }
        affected.push(request);
        true
    }

    /// Whether there is room for one more crash. Evicts the request that has not changed for the
    /// longest time, unless it is quarantined.
    fn has_room(&mut self, update: &CrashUpdate) -> bool {
        let co_running = self.co_running.get(&update.upstream).map_or(0, BTreeSet::len);
        if !update.is_cleared && co_running >= self.config.max_requests_per_crash {
            return false;
        }
        if let Some(record) = self.records.get(&update.request) {
            let is_known = record.ends().contains_key(&update.upstream);
            return is_known || record.ends().len() < self.config.max_crashes_per_request;
        }
        if self.records.len() < self.config.max_requests {
            return true;
        }
        let evictable =
            self.records.iter().filter(|(_, record)| record.state.quarantined().is_none());
        let oldest =
            evictable.min_by_key(|(_, record)| record.changed_at).map(|(request, _)| *request);
        oldest.is_some_and(|oldest| {
            self.remove(oldest);
            true
        })
    }

    /// Stops counting crashes for a request and appends the requests whose crashes it explained.
    fn dismiss_crashes(
        &mut self,
        request: RequestFingerprint,
        upstreams: &[UpstreamKey],
        affected: &mut Vec<RequestFingerprint>,
    ) {
        for upstream in upstreams {
            self.remove_co_running(request, *upstream);
            affected.extend(self.co_running.get(upstream).into_iter().flatten().copied());
        }
    }

    /// Removes a request from those that ran on a crashed upstream.
    fn remove_co_running(&mut self, request: RequestFingerprint, upstream: UpstreamKey) {
        if let Some(co_running) = self.co_running.get_mut(&upstream) {
            co_running.remove(&request);
            if co_running.is_empty() {
                self.co_running.remove(&upstream);
            }
        }
    }

    /// Crashes recorded lately, to send to peers that have followed the earlier updates.
    pub fn peer_updates(&self, now: MonoTime) -> impl Iterator<Item = CrashUpdate> {
        let publish_for = self.config.publish_for;
        self.all_updates()
            .filter(move |(crash, _)| now.since(crash.learnt_at) < publish_for)
            .map(|(_, update)| update)
    }

    /// Crashes to send to a peer that has just started.
    pub fn startup_peer_updates(&self) -> impl Iterator<Item = CrashUpdate> {
        self.all_updates().map(|(_, update)| update)
    }

    fn all_updates(&self) -> impl Iterator<Item = (Crash, CrashUpdate)> {
        self.records.iter().flat_map(|(request, record)| {
            record.ends().iter().map(|(upstream, crash)| {
                let is_cleared = !crash.counts;
                (*crash, CrashUpdate { request: *request, upstream: *upstream, is_cleared })
            })
        })
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: MonoTime) {
        self.broken_streams.expire(now);
        let is_expired = |record: &Record| record.is_expired(now, &self.config);
        let expired = self.records.iter().filter(|(_, record)| is_expired(record));
        let expired: Vec<_> = expired.map(|(request, _)| *request).collect();
        for request in expired {
            self.remove(request);
        }
    }

    fn remove(&mut self, request: RequestFingerprint) {
        let Some(record) = self.records.remove(&request) else {
            return;
        };
        record.crashed_upstreams().for_each(|upstream| self.remove_co_running(request, upstream));
    }

    /// One line for each tracked request, for the state dump.
    pub fn summary(&self) -> Vec<String> {
        let line = |(request, record): (&RequestFingerprint, &Record)| {
            let Record { state, row, .. } = record;
            let ends = record.crash_count();
            format!("{request} ends={ends} stored={} {state:?}", row.is_some())
        };
        let mut lines: Vec<_> = self.records.iter().map(line).collect();
        lines.sort_unstable();
        lines
    }
}
