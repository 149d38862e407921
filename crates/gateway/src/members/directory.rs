//! The directory of known upstreams, without I/O.
//!
//! A row of the list is removed when its upstream has terminated, but also, wrongly, while the platform's
//! store is unavailable. So an upstream whose row is gone stays known for a short time, as a last resort.
//!
//! A draining upstream announces it in its responses too, as its row may change only when the store is
//! available again: without that, an upstream known to be draining got 1 to 5 requests per second for 12 s.
//!
//! A row may also be stale: a delayed report of an earlier incarnation, or an old copy. So the directory
//! keeps a history of incarnations, and defers rows that name an earlier one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;

use super::Member;
use super::MemberState;
use super::incarnation_history::IncarnationHistory;
use super::incarnation_history::Superseded;

/// How long an upstream stays known after its row is gone or it announced that it is draining. The platform
/// allows 2 s; the difference is left for requests in flight.
const LEAVING_GRACE: Duration = Duration::from_millis(1_300);

/// How long a row of an earlier incarnation is taken for a stale copy. One that persists longer is accepted,
/// as the upstream's clock may have been set back; stale rows lapse after three missed reports, 1.2 s apart.
const DEFERRED_FOR: Duration = Duration::from_secs(6);

/// How long an incarnation's announcement that it is draining is kept. It terminates within seconds or
/// minutes, but its row may say otherwise for as long as the store is unavailable.
const DRAIN_REPORT_TTL: Duration = Duration::from_secs(600);

/// Whether an upstream is listed, or leaving and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// Listed and ready.
    Listed,
    /// Draining, or without a row, since this moment.
    Leaving(MonoTime),
}

#[derive(Debug)]
struct KnownMember {
    member: Member,
    listing: ListingState,
}

/// A row of an earlier incarnation, and when it was first seen.
#[derive(Debug)]
struct DeferredRow {
    member: Member,
    since: MonoTime,
}

/// The known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    // Ordered by id, so that decisions do not depend on hashing.
    known: BTreeMap<InstanceId, KnownMember>,
    /// Those of them that are leaving: only these are checked regularly, as there may be 10,000 others.
    leaving: BTreeSet<InstanceId>,
    deferred: BTreeMap<InstanceId, DeferredRow>,
    /// Announcements in responses that an incarnation is draining.
    drain_reports: HashMap<UpstreamIncarnation, DrainReport>,
    history: IncarnationHistory,
}

/// The times of the first and the last announcement of an incarnation that it is draining.
#[derive(Debug, Clone, Copy)]
struct DrainReport {
    since: MonoTime,
    last: MonoTime,
}

impl Directory {
    /// Adds an upstream or a change of its row. Returns the incarnations superseded by that: those with a
    /// later incarnation at their address or of the same upstream.
    pub fn listed(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        self.history.next_batch();
        self.apply_row(now, member)
    }

    fn apply_row(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        let instance = &member.start.instance;
        let latest = self.history.latest(instance);
        if latest.is_some_and(|latest| latest.is_later_than(&member.start)) {
            self.defer(now, member);
            return Vec::new();
        }
        let is_foreign_row =
            member.start.started.is_none() && latest.is_some_and(|latest| latest.started.is_some());
        if is_foreign_row {
            self.unreadable(now, &instance.clone());
            return Vec::new();
        }
        self.accept(now, member)
    }

    /// Defers a row of an earlier incarnation than the latest known one: most likely a stale copy.
    fn defer(&mut self, now: MonoTime, member: Member) {
        log::info!(start:% = member.start; "an entry of an earlier start is not believed yet");
        let instance = member.start.instance.clone();
        let since = self.deferred.get(&instance).map_or(now, |deferred| deferred.since);
        self.deferred.insert(instance, DeferredRow { member, since });
    }

    fn accept(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        let mut superseded = self.history.record_listed(&member);
        for earlier in &mut superseded {
            earlier.is_planned |= self.drain_reports.contains_key(&earlier.start);
        }
        let instance = member.start.instance.clone();
        let listing = self.listing(now, &member);
        if listing == ListingState::Listed {
            self.leaving.remove(&instance);
        } else {
            self.leaving.insert(instance.clone());
        }
        self.deferred.remove(&instance);
        self.known.insert(instance, KnownMember { member, listing });
        superseded
    }

    /// The state of an upstream whose row is accepted now.
    fn listing(&self, now: MonoTime, member: &Member) -> ListingState {
        // Its own announcement overrides its row, which may be as old as the outage of the store.
        if let Some(report) = self.drain_reports.get(&member.start) {
            return ListingState::Leaving(report.since);
        }
        let known = self.known.get(&member.start.instance);
        let before = known.filter(|known| known.member.start == member.start);
        match (member.state, before.map(|known| known.listing)) {
            (MemberState::Ready, _) => ListingState::Listed,
            (MemberState::Draining, Some(ListingState::Leaving(since))) => {
                ListingState::Leaving(since)
            }
            (MemberState::Draining, _) => ListingState::Leaving(now),
        }
    }

    /// Records that an incarnation has announced in a response that it is draining. No row revokes that.
    pub fn record_draining(&mut self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        let report = self.drain_reports.entry(incarnation.clone());
        report.or_insert(DrainReport { since: now, last: now }).last = now;
        if self.is_known(incarnation) {
            self.mark_leaving(now, &incarnation.instance);
        }
    }

    /// Notes that the row of an upstream is gone.
    pub fn gone(&mut self, now: MonoTime, instance: &InstanceId) {
        self.deferred.remove(instance);
        self.mark_leaving(now, instance);
    }

    fn mark_leaving(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(known) = self.known.get_mut(instance)
            && known.listing == ListingState::Listed
        {
            known.listing = ListingState::Leaving(now);
            self.leaving.insert(instance.clone());
        }
    }

    /// Removes an upstream whose row cannot be parsed or was written by someone else.
    pub fn unreadable(&mut self, now: MonoTime, instance: &InstanceId) {
        self.deferred.remove(instance);
        self.remove(now, instance);
    }

    fn remove(&mut self, now: MonoTime, instance: &InstanceId) {
        self.leaving.remove(instance);
        if self.known.remove(instance).is_some() {
            self.history.record_removed(now, instance);
        }
    }

    /// Applies the complete list; the rows of upstreams not in it are gone. Returns the superseded
    /// incarnations, as [`listed`](Self::listed) does.
    pub fn replace(&mut self, now: MonoTime, members: Vec<Member>) -> Vec<Superseded> {
        let listed: HashSet<_> = members.iter().map(|member| &member.start.instance).collect();
        let known = self.known.keys().chain(self.deferred.keys());
        let missing: Vec<_> = known.filter(|id| !listed.contains(id)).cloned().collect();
        for instance in missing {
            self.gone(now, &instance);
        }
        // The rows of a complete list have no known order among themselves.
        self.history.next_batch();
        members.into_iter().flat_map(|member| self.apply_row(now, member)).collect()
    }

    /// Removes upstreams whose grace period has passed, and accepts rows that were deferred for long enough.
    /// Returns whether any incarnation was removed.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.history.expire(now);
        self.drain_reports.retain(|_, report| now.since(report.last) < DRAIN_REPORT_TTL);
        let is_due = |deferred: &DeferredRow| now.since(deferred.since) >= DEFERRED_FOR;
        let due = self.deferred.iter().filter(|(_, deferred)| is_due(deferred));
        let due: Vec<_> = due.map(|(_, deferred)| deferred.member.clone()).collect();
        let left = self.leaving.iter().filter(|instance| self.has_left(now, instance));
        let left: Vec<_> = left.cloned().collect();
        for instance in &left {
            self.remove(now, instance);
        }
        let is_any_removed = !left.is_empty() || !due.is_empty();
        for member in due {
            self.history.next_batch();
            self.accept(now, member);
        }
        is_any_removed
    }

    fn has_left(&self, now: MonoTime, instance: &InstanceId) -> bool {
        let listing = self.known.get(instance).map(|known| known.listing);
        matches!(listing, Some(ListingState::Leaving(since)) if now.since(since) >= LEAVING_GRACE)
    }

    /// The listed upstreams of a service; with `with_leaving` also those that are leaving.
    pub fn of_service<'a>(
        &'a self,
        now: MonoTime,
        service: &'a ServiceName,
        with_leaving: bool,
    ) -> impl Iterator<Item = &'a Member> {
        let is_usable = move |listing: ListingState| match listing {
            ListingState::Listed => true,
            ListingState::Leaving(since) => with_leaving && now.since(since) < LEAVING_GRACE,
        };
        let fits = move |k: &&KnownMember| k.member.service == *service && is_usable(k.listing);
        self.known.values().filter(fits).map(|known| &known.member)
    }

    /// Whether an incarnation is known.
    pub fn is_known(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.member(incarnation).is_some()
    }

    /// Whether an incarnation has announced its end, in its row or in a response.
    pub fn has_announced(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.drain_reports.contains_key(incarnation) || self.history.has_announced(incarnation)
    }

    /// The row of an incarnation, if it is known.
    pub fn member(&self, incarnation: &UpstreamIncarnation) -> Option<&Member> {
        let known = self.known.get(&incarnation.instance).map(|known| &known.member);
        known.filter(|member| member.start == *incarnation)
    }

    /// Number of known upstreams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// All known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, ListingState)> {
        self.known.values().map(|known| (&known.member, known.listing))
    }
}
