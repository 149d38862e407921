//! Requests that end the upstreams that run them ("queries of death").
//!
//! All requests that run on an upstream break off when it ends, and one of them may have done it.
//! What is known of a request, and what that proves:
//!
//! | evidence | proves | the request is | for how long |
//! | --- | --- | --- | --- |
//! | its answer broke off, the upstream is there | nothing: connections are cut | what it was | |
//! | the same, and within 6 s it shows that this start has ended, without having said before that it leaves | as if it had shown at once | suspect | as below |
//! | an upstream has ended while it ran it | one of those that ran there did it | suspect | until a whole answer; a day |
//! | another one that ran there is held back, with more ends | the other one did it | not to blame for this end | as long as the other is held back |
//! | three ends, not all of them explained by another | it did it, or ran beside such requests each time | held back | until it is tried again |
//! | the end of an upstream at which it was tried again | it did it | held back | for good (its row in the store) |
//! | a whole answer, to any of its tries at any entry | it did not do it | cleared | until the next end |
//!
//! Suspects go on being sent, as those that ran beside a fatal request have done nothing: each to
//! the upstream that a hash of it names. So those that broke off together part, and the next end tells
//! the fatal one from the others; and all entries that try the same one at the same moment lose
//! one upstream by it and not one each.
//!
//! Entries tell each other of ends and of answers, as pairs of a request and an upstream; what is told
//! twice or in any order comes to the same. How often one is tried again must be agreed: that is
//! counted in the store, under the condition that the row has not changed.

mod breaks;
mod config;
mod judgement;
mod record;
mod standing;
mod stored;

use std::collections::BTreeSet;
use std::collections::HashMap;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;

use breaks::Breaks;
pub use config::FatalConfig;
use record::End;
use record::Record;
use record::Row;
pub use standing::Disposition;
pub use standing::FatalChange;
pub use standing::FatalRecord;
use standing::HeldBack;
use standing::Standing;
use standing::Suspect;

use crate::balance::UpstreamKey;

/// What entries tell each other: an upstream ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashUpdate {
    /// The request.
    pub request: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the request has been answered whole since, so that the end does not count.
    pub is_cleared: bool,
}

/// What is known of requests under which upstreams have ended.
#[derive(Debug, Default)]
pub struct FatalRequests {
    config: FatalConfig,
    records: HashMap<RequestFingerprint, Record>,
    /// The requests that ran on each upstream that has ended, as far as these ends count.
    beside: HashMap<UpstreamKey, BTreeSet<RequestFingerprint>>,
    /// Answers that broke off here, until it shows why.
    breaks: Breaks,
}

impl FatalRequests {
    /// Nothing is known yet.
    pub fn new(config: FatalConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether it is still open of any answer that broke off why it did.
    pub fn has_unexplained_broken_streams(&self) -> bool {
        !self.breaks.is_empty()
    }

    /// What may be done with a request now.
    pub fn verdict(&self, now: MonoTime, request: RequestFingerprint) -> Disposition {
        let Some(record) = self.records.get(&request) else {
            return Disposition::Free;
        };
        let held = match record.standing {
            Standing::Cleared(_) => return Disposition::Free,
            Standing::Suspect(_) => return Disposition::Suspect,
            Standing::Trying(trying) if now < trying.until() => {
                return Disposition::HeldBack { due: Some(trying.until()) };
            }
            Standing::Trying(trying) => trying.end(trying.until()),
            Standing::HeldBack(held) => held,
        };
        match held.due(&self.config) {
            Some(due) if now >= due && record.row.is_some() => Disposition::MayTry,
            due => Disposition::HeldBack { due },
        }
    }

    /// An upstream has ended while it ran a request, at this entry. Says whether that is new.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        upstream: UpstreamKey,
    ) -> bool {
        !self.all_ended(now, [request], upstream).is_empty()
    }

    /// The same of several requests that ran there, which are judged together, once. Gives those for
    /// which it is new.
    fn all_ended(
        &mut self,
        now: MonoTime,
        requests: impl IntoIterator<Item = RequestFingerprint>,
        upstream: UpstreamKey,
    ) -> Vec<RequestFingerprint> {
        let mut concerned = Vec::new();
        let mut new = Vec::new();
        for request in requests {
            if let Some(record) = self.records.get_mut(&request)
                && let Standing::Trying(trying) = record.standing
            {
                record.standing = Standing::HeldBack(trying.held().proved(&self.config));
            }
            let end = CrashUpdate { request, upstream, is_cleared: false };
            if self.learnt(now, end, &mut concerned) {
                new.push(request);
            }
        }
        self.judge_around(now, concerned);
        new
    }

    /// The answer of a request broke off, and its upstream may have ended.
    pub fn record_broken_stream(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        upstream: UpstreamKey,
    ) {
        self.breaks.record_broken_stream(now, request, upstream);
    }

    /// It shows that an upstream has ended, however that is learnt: what broke off there lately did so
    /// by its end. Gives the requests for which that is new.
    pub fn record_termination(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
    ) -> Vec<RequestFingerprint> {
        let broken = self.breaks.ended(now, upstream);
        self.all_ended(now, broken, upstream)
    }

    /// A request was answered whole. Says whether anything was held against it.
    pub fn answered(&mut self, now: MonoTime, request: RequestFingerprint) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if record.standing.is_cleared() {
            return false;
        }
        let upstreams: Vec<_> = record.counted().collect();
        record.clear(now);
        let mut concerned = Vec::new();
        self.dismiss(request, &upstreams, &mut concerned);
        self.judge_around(now, concerned);
        true
    }

    /// Another entry tells of ends. Gives how many of them are new. All are judged together, once: in a
    /// time of many ends a message has tens of them, which concern each other.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        news: impl IntoIterator<Item = CrashUpdate>,
    ) -> usize {
        let mut concerned = Vec::new();
        let mut new = 0;
        for news in news {
            new += usize::from(self.learnt(now, news, &mut concerned));
        }
        self.judge_around(now, concerned);
        new
    }

    /// Takes an end down, and adds the requests that it concerns. Says whether it is new.
    fn learnt(
        &mut self,
        now: MonoTime,
        news: CrashUpdate,
        concerned: &mut Vec<RequestFingerprint>,
    ) -> bool {
        let CrashUpdate { request, upstream, is_cleared } = news;
        if !self.has_room(&news) {
            return false;
        }
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        match record.ends().get(&upstream) {
            Some(end) if !end.counts || !is_cleared => return false,
            _ => {}
        }
        // What is known by its row alone is not cleared by news of ends that were never known here.
        let is_known_by_row = record.row.is_some() && !record.counts(upstream);
        record.set_end(upstream, End { learnt: now, counts: !is_cleared });
        record.changed = now;
        if is_cleared {
            if record.count() == 0 && !is_known_by_row {
                record.clear(now);
            }
            self.dismiss(request, &[upstream], concerned);
        } else {
            if record.standing.is_cleared() {
                record.standing = Standing::Suspect(Suspect);
            }
            self.beside.entry(upstream).or_default().insert(request);
        }
        concerned.push(request);
        true
    }

    /// Whether one more end can be remembered. The request that has not changed for the longest time
    /// gives way, unless it is held back.
    fn has_room(&mut self, news: &CrashUpdate) -> bool {
        let beside = self.beside.get(&news.upstream).map_or(0, BTreeSet::len);
        if !news.is_cleared && beside >= self.config.max_requests_per_crash {
            return false;
        }
        if let Some(record) = self.records.get(&news.request) {
            let is_known = record.ends().contains_key(&news.upstream);
            return is_known || record.ends().len() < self.config.max_crashes_per_request;
        }
        if self.records.len() < self.config.max_requests {
            return true;
        }
        let may_go = self.records.iter().filter(|(_, record)| record.standing.held().is_none());
        let oldest = may_go.min_by_key(|(_, record)| record.changed).map(|(request, _)| *request);
        oldest.is_some_and(|oldest| {
            self.forget(oldest);
            true
        })
    }

    /// Ends of upstreams do not count for a request any more: what it explained is open again.
    fn dismiss(
        &mut self,
        request: RequestFingerprint,
        upstreams: &[UpstreamKey],
        concerned: &mut Vec<RequestFingerprint>,
    ) {
        for upstream in upstreams {
            self.take_away(request, *upstream);
            concerned.extend(self.beside.get(upstream).into_iter().flatten().copied());
        }
    }

    /// A request is not one of those any more that ran on an upstream when it ended.
    fn take_away(&mut self, request: RequestFingerprint, upstream: UpstreamKey) {
        if let Some(beside) = self.beside.get_mut(&upstream) {
            beside.remove(&request);
            if beside.is_empty() {
                self.beside.remove(&upstream);
            }
        }
    }

    /// A request is to be tried again by this entry. Gives what the store has to agree to; none when
    /// it is not to be tried now.
    pub fn begin_trial(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
    ) -> Option<FatalChange> {
        if self.verdict(now, request) != Disposition::MayTry {
            return None;
        }
        let record = self.records.get_mut(&request)?;
        let trying = record.standing.held()?.begin_trial(now, &self.config);
        record.standing = Standing::Trying(trying);
        let stored = FatalRecord { tries: trying.held().tries(), ends: record.count_u32() };
        let expected = record.row.map(|row| row.version);
        Some(FatalChange { expected, record: Some(stored) })
    }

    /// A try is over, or the store did not agree to it. One that had an outcome has told it before.
    pub fn end_trial(&mut self, now: MonoTime, request: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&request)
            && let Standing::Trying(trying) = record.standing
        {
            record.standing = Standing::HeldBack(trying.end(now));
        }
    }

    /// The store says that a request is held back. One that has been cleared here stays so: its row
    /// is to be removed.
    pub fn stored(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        version: StoreVersion,
        stored: FatalRecord,
    ) {
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        record.row = Some(Row { version, tries: stored.tries });
        match record.standing {
            Standing::Cleared(_) => {}
            Standing::Trying(trying) if trying.held().tries() >= stored.tries => {}
            standing => {
                // What was learnt at a try may be ahead of the row.
                let known = standing.held().map_or(0, HeldBack::tries);
                let tries = known.max(stored.tries);
                record.standing = Standing::HeldBack(HeldBack::stored(now, tries));
            }
        }
        self.judge_around(now, vec![request]);
    }

    /// The store has no row of a request any more: it was answered whole, or an operator removed it.
    pub fn unstored(&mut self, now: MonoTime, request: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&request)
            && record.row.take().is_some()
        {
            self.answered(now, request);
        }
    }

    /// The store was read anew at a version, and has rows of these requests only. Where it has come back
    /// from a copy meanwhile, the others are held back as before, and are to be stored again.
    pub fn retain_stored(
        &mut self,
        now: MonoTime,
        version: StoreVersion,
        stored: &BTreeSet<RequestFingerprint>,
    ) {
        let mut unstored = Vec::new();
        for (request, record) in &mut self.records {
            let Some(row) = record.row.filter(|_| !stored.contains(request)) else {
                continue;
            };
            if row.version.era < version.era {
                record.row = None;
            } else {
                unstored.push(*request);
            }
        }
        for request in unstored {
            self.unstored(now, request);
        }
    }

    /// What other entries should know that have listened lately.
    pub fn peer_updates(&self, now: MonoTime) -> impl Iterator<Item = CrashUpdate> {
        let publish_for = self.config.publish_for;
        self.all_news().filter(move |(end, _)| now.since(end.learnt) < publish_for).map(|(_, n)| n)
    }

    /// What an entry should know that has just started.
    pub fn startup_peer_updates(&self) -> impl Iterator<Item = CrashUpdate> {
        self.all_news().map(|(_, news)| news)
    }

    fn all_news(&self) -> impl Iterator<Item = (End, CrashUpdate)> {
        self.records.iter().flat_map(|(request, record)| {
            record.ends().iter().map(|(upstream, end)| {
                let is_cleared = !end.counts;
                (*end, CrashUpdate { request: *request, upstream: *upstream, is_cleared })
            })
        })
    }

    /// Forgets what is of no use any more.
    pub fn expire(&mut self, now: MonoTime) {
        self.breaks.expire(now);
        let is_over = |record: &Record| record.is_over(now, &self.config);
        let over = self.records.iter().filter(|(_, record)| is_over(record));
        let over: Vec<_> = over.map(|(request, _)| *request).collect();
        for request in over {
            self.forget(request);
        }
    }

    fn forget(&mut self, request: RequestFingerprint) {
        let Some(record) = self.records.remove(&request) else {
            return;
        };
        record.counted().for_each(|upstream| self.take_away(request, upstream));
    }

    /// One line for each request that is suspect or held back, for the state dump.
    pub fn summary(&self) -> Vec<String> {
        let line = |(request, record): (&RequestFingerprint, &Record)| {
            let Record { standing, row, .. } = record;
            let ends = record.count();
            format!("{request} ends={ends} stored={} {standing:?}", row.is_some())
        };
        let mut lines: Vec<_> = self.records.iter().map(line).collect();
        lines.sort_unstable();
        lines
    }
}
