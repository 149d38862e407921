//! The upstreams that are known, without input or output.
//!
//! An entry of the list goes when an upstream has ended, but also, wrongly, while the
//! platform's store is away. So an upstream whose entry has gone stays known for a short
//! time, to be used only when there is no other.
//!
//! An upstream that leaves says so in its answers too, and the list may learn it only when the store is
//! back: 1 to 5 requests a second reached one for 12 s that its entries knew to be leaving.
//!
//! An entry of the list may also be out of date: a report of an earlier start that was held up
//! on its way, or an old copy. So it is remembered which starts there have been.

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

/// How long an upstream stays known after its entry has gone or says that it is leaving.
/// The platform allows 2 s; the rest is for a request on its way.
const KEPT_AFTER_LEAVING: Duration = Duration::from_millis(1_300);

/// How long an entry of an earlier start is taken for an old copy. One that is still there
/// after that is believed: an upstream's clock may have been set back, and what is out of date
/// lapses when three reports, 1.2 s apart, have not come.
const DOUBTED_FOR: Duration = Duration::from_secs(6);

/// How long it is remembered that a start of an upstream has said that it leaves. One ends within seconds
/// or minutes of it; its row may say otherwise for as long as the store is away.
const SAID_FOR: Duration = Duration::from_secs(600);

/// How sure it is that an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// It is listed and ready.
    Listed,
    /// It is leaving or its entry has gone, since this moment.
    Leaving(MonoTime),
}

#[derive(Debug)]
struct Known {
    member: Member,
    presence: ListingState,
}

/// An entry of an earlier start, and since when it has been there.
#[derive(Debug)]
struct Doubted {
    member: Member,
    since: MonoTime,
}

/// The upstreams that are known.
#[derive(Debug, Default)]
pub struct Directory {
    // In the order of their ids, so that decisions do not depend on hashing.
    known: BTreeMap<InstanceId, Known>,
    /// Those of them that are leaving: only these are looked at again and again, as there may be
    /// 10,000 others.
    leaving: BTreeSet<InstanceId>,
    doubted: BTreeMap<InstanceId, Doubted>,
    /// Since when a start has said in its answers that it leaves, and when it did so last.
    said_leaving: HashMap<UpstreamIncarnation, Said>,
    history: IncarnationHistory,
}

/// Since when an upstream has said something, and when it did so last.
#[derive(Debug, Clone, Copy)]
struct Said {
    since: MonoTime,
    last: MonoTime,
}

impl Directory {
    /// An upstream is listed, or its entry has changed. Gives the starts that are over by that: a
    /// later one is at their address, or of the same upstream.
    pub fn listed(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        self.history.next_batch();
        self.take(now, member)
    }

    fn take(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        let instance = &member.start.instance;
        let latest = self.history.latest(instance);
        if latest.is_some_and(|latest| latest.is_later_than(&member.start)) {
            self.doubt(now, member);
            return Vec::new();
        }
        let is_another_writers =
            member.start.started.is_none() && latest.is_some_and(|latest| latest.started.is_some());
        if is_another_writers {
            self.unreadable(now, &instance.clone());
            return Vec::new();
        }
        self.believe(now, member)
    }

    /// An entry of an earlier start than the latest that was listed: an old copy, most likely.
    fn doubt(&mut self, now: MonoTime, member: Member) {
        log::info!(start:% = member.start; "an entry of an earlier start is not believed yet");
        let instance = member.start.instance.clone();
        let since = self.doubted.get(&instance).map_or(now, |doubted| doubted.since);
        self.doubted.insert(instance, Doubted { member, since });
    }

    fn believe(&mut self, now: MonoTime, member: Member) -> Vec<Superseded> {
        let mut over = self.history.listed(&member);
        for superseded in &mut over {
            superseded.is_planned |= self.said_leaving.contains_key(&superseded.start);
        }
        let instance = member.start.instance.clone();
        let presence = self.presence(now, &member);
        if presence == ListingState::Listed {
            self.leaving.remove(&instance);
        } else {
            self.leaving.insert(instance.clone());
        }
        self.doubted.remove(&instance);
        self.known.insert(instance, Known { member, presence });
        over
    }

    /// How sure it is that an upstream takes work whose entry is believed now.
    fn presence(&self, now: MonoTime, member: &Member) -> ListingState {
        // What it has said itself goes before its row, which may be late by as long as the store
        // is away.
        if let Some(said) = self.said_leaving.get(&member.start) {
            return ListingState::Leaving(said.since);
        }
        let known = self.known.get(&member.start.instance);
        let before = known.filter(|known| known.member.start == member.start);
        match (member.state, before.map(|known| known.presence)) {
            (MemberState::Ready, _) => ListingState::Listed,
            (MemberState::Draining, Some(ListingState::Leaving(since))) => {
                ListingState::Leaving(since)
            }
            (MemberState::Draining, _) => ListingState::Leaving(now),
        }
    }

    /// A start of an upstream has said in an answer that it leaves. No row takes that back.
    pub fn record_draining(&mut self, now: MonoTime, start: &UpstreamIncarnation) {
        let said = self.said_leaving.entry(start.clone());
        said.or_insert(Said { since: now, last: now }).last = now;
        if self.is_known(start) {
            self.begins_to_leave(now, &start.instance);
        }
    }

    /// The entry of an upstream has gone.
    pub fn gone(&mut self, now: MonoTime, instance: &InstanceId) {
        self.doubted.remove(instance);
        self.begins_to_leave(now, instance);
    }

    fn begins_to_leave(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(known) = self.known.get_mut(instance)
            && known.presence == ListingState::Listed
        {
            known.presence = ListingState::Leaving(now);
            self.leaving.insert(instance.clone());
        }
    }

    /// The entry of an upstream cannot be read, or is another writer's: it names no upstream.
    pub fn unreadable(&mut self, now: MonoTime, instance: &InstanceId) {
        self.doubted.remove(instance);
        self.forget(now, instance);
    }

    fn forget(&mut self, now: MonoTime, instance: &InstanceId) {
        self.leaving.remove(instance);
        if self.known.remove(instance).is_some() {
            self.history.left(now, instance);
        }
    }

    /// The whole list was read: those not in it have gone. Gives the starts that are over by
    /// that, as [`listed`](Self::listed) does.
    pub fn replace(&mut self, now: MonoTime, members: Vec<Member>) -> Vec<Superseded> {
        let listed: HashSet<_> = members.iter().map(|member| &member.start.instance).collect();
        let known = self.known.keys().chain(self.doubted.keys());
        let missing: Vec<_> = known.filter(|id| !listed.contains(id)).cloned().collect();
        for instance in missing {
            self.gone(now, &instance);
        }
        // Which one of a list came first is not known.
        self.history.next_batch();
        members.into_iter().flat_map(|member| self.take(now, member)).collect()
    }

    /// Forgets those that left long enough ago, and believes entries that were doubted for long
    /// enough. Says whether any start was forgotten.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.history.expire(now);
        self.said_leaving.retain(|_, said| now.since(said.last) < SAID_FOR);
        let is_due = |doubted: &Doubted| now.since(doubted.since) >= DOUBTED_FOR;
        let due = self.doubted.iter().filter(|(_, doubted)| is_due(doubted));
        let due: Vec<_> = due.map(|(_, doubted)| doubted.member.clone()).collect();
        let left = self.leaving.iter().filter(|instance| self.has_left(now, instance));
        let left: Vec<_> = left.cloned().collect();
        for instance in &left {
            self.forget(now, instance);
        }
        let is_any_forgotten = !left.is_empty() || !due.is_empty();
        for member in due {
            self.history.next_batch();
            self.believe(now, member);
        }
        is_any_forgotten
    }

    fn has_left(&self, now: MonoTime, instance: &InstanceId) -> bool {
        let presence = self.known.get(instance).map(|known| known.presence);
        matches!(presence, Some(ListingState::Leaving(since)) if now.since(since) >= KEPT_AFTER_LEAVING)
    }

    /// The upstreams of a service that are listed; those that are leaving only when
    /// `with_leaving`.
    pub fn of_service<'a>(
        &'a self,
        now: MonoTime,
        service: &'a ServiceName,
        with_leaving: bool,
    ) -> impl Iterator<Item = &'a Member> {
        let is_usable = move |presence: ListingState| match presence {
            ListingState::Listed => true,
            ListingState::Leaving(since) => with_leaving && now.since(since) < KEPT_AFTER_LEAVING,
        };
        let fits = move |k: &&Known| k.member.service == *service && is_usable(k.presence);
        self.known.values().filter(fits).map(|known| &known.member)
    }

    /// Whether a start of an upstream is known.
    pub fn is_known(&self, start: &UpstreamIncarnation) -> bool {
        self.member(start).is_some()
    }

    /// Whether a start of an upstream has said that it leaves, in its row or in an answer.
    pub fn has_announced(&self, start: &UpstreamIncarnation) -> bool {
        self.said_leaving.contains_key(start) || self.history.has_announced(start)
    }

    /// What is known of a start of an upstream.
    pub fn member(&self, start: &UpstreamIncarnation) -> Option<&Member> {
        let known = self.known.get(&start.instance).map(|known| &known.member);
        known.filter(|member| member.start == *start)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// All that are known, with how sure it is that they take work.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, ListingState)> {
        self.known.values().map(|known| (&known.member, known.presence))
    }
}
