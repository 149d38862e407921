//! The upstreams that are known, without input or output.
//!
//! An entry of the list goes when an upstream has ended, but also, wrongly, while the
//! platform's store is away. So an upstream whose entry has gone stays known for a short
//! time, to be used only when there is no other.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;

use super::Member;
use super::MemberState;

/// How long an upstream stays known after its entry has gone or says that it is leaving.
/// The platform allows 2 s; the rest is for a request on its way.
const KEPT_AFTER_LEAVING: Duration = Duration::from_millis(1_300);

/// How sure it is that an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is listed and ready.
    Listed,
    /// It is leaving or its entry has gone, since this moment.
    Leaving(MonoTime),
}

#[derive(Debug)]
struct Known {
    member: Member,
    presence: Presence,
}

/// The upstreams that are known.
#[derive(Debug, Default)]
pub struct Directory {
    // In the order of their ids, so that decisions do not depend on hashing.
    known: BTreeMap<InstanceId, Known>,
}

impl Directory {
    /// An upstream is listed, or its entry has changed.
    pub fn listed(&mut self, now: MonoTime, member: Member) {
        let before = self.known.get(&member.instance).map(|known| known.presence);
        let presence = match (member.state, before) {
            (MemberState::Ready, _) => Presence::Listed,
            (MemberState::Draining, Some(Presence::Leaving(since))) => Presence::Leaving(since),
            (MemberState::Draining, _) => Presence::Leaving(now),
        };
        self.known.insert(member.instance.clone(), Known { member, presence });
    }

    /// The entry of an upstream has gone.
    pub fn gone(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(known) = self.known.get_mut(instance)
            && known.presence == Presence::Listed
        {
            known.presence = Presence::Leaving(now);
        }
    }

    /// The whole list was read: those not in it have gone.
    pub fn replace(&mut self, now: MonoTime, members: Vec<Member>) {
        let is_listed = |instance: &InstanceId| members.iter().any(|m| m.instance == *instance);
        let missing: Vec<_> = self.known.keys().filter(|i| !is_listed(i)).cloned().collect();
        for instance in missing {
            self.gone(now, &instance);
        }
        for member in members {
            self.listed(now, member);
        }
    }

    /// Forgets those that left long enough ago. Says whether any was forgotten.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.known.len();
        self.known.retain(|_, known| match known.presence {
            Presence::Listed => true,
            Presence::Leaving(since) => now.since(since) < KEPT_AFTER_LEAVING,
        });
        self.known.len() < before
    }

    /// The upstreams of a service that are listed; those that are leaving only when
    /// `with_leaving`.
    pub fn of_service<'a>(
        &'a self,
        now: MonoTime,
        service: &'a ServiceName,
        with_leaving: bool,
    ) -> impl Iterator<Item = &'a Member> {
        let is_usable = move |presence: Presence| match presence {
            Presence::Listed => true,
            Presence::Leaving(since) => with_leaving && now.since(since) < KEPT_AFTER_LEAVING,
        };
        let fits = move |k: &&Known| k.member.service == *service && is_usable(k.presence);
        self.known.values().filter(fits).map(|known| &known.member)
    }

    /// Whether an upstream is known.
    pub fn is_known(&self, instance: &InstanceId) -> bool {
        self.known.contains_key(instance)
    }

    /// All that are known, with how sure it is that they take work.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, Presence)> {
        self.known.values().map(|known| (&known.member, known.presence))
    }
}
