//! What upstreams say of themselves in answers.

use stallhoist_core::MonoTime;
use stallhoist_core::StartId;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::cold::ToldCold;
use stallhoist_policy::named_limits::TellableLimit;

use super::Upstreams;
use crate::notice::Notice;

impl Upstreams {
    /// An upstream has said something of itself, in an answer to a request that was sent then. Says whether
    /// it names another limit than before.
    pub(crate) fn heard(
        &self,
        now: MonoTime,
        start: &StartId,
        sent: MonoTime,
        notice: &Notice,
    ) -> bool {
        let mut known = self.known.lock();
        if let Some(load) = notice.load {
            known.load.reported(now, start, load);
        }
        if let Some(cold) = notice.cold {
            known.cold.told(now, start, ToldCold::For(cold));
        }
        if notice.is_leaving {
            known.directory.says_that_it_leaves(now, start);
        }
        if let Some(rest) = notice.rest {
            known.rests.asked(now, start, rest);
        }
        let is_other_limit = known.limits.heard(now, start, sent, notice.limit);
        drop(known);
        if is_other_limit {
            self.changed.notify_waiters();
        }
        is_other_limit
    }

    /// What other entries should know of limits.
    pub(crate) fn named_limits(&self, now: MonoTime) -> Vec<(UpstreamKey, TellableLimit)> {
        self.known.lock().limits.tellable(now).collect()
    }

    /// The same for one that starts.
    pub(crate) fn all_named_limits(&self, now: MonoTime) -> Vec<(UpstreamKey, TellableLimit)> {
        self.known.lock().limits.tellable_at_start(now).collect()
    }

    /// Another entry tells what it knows of a limit. Says whether that is another one than before.
    pub(crate) fn told_limit(
        &self,
        now: MonoTime,
        upstream: UpstreamKey,
        told: TellableLimit,
    ) -> bool {
        self.known.lock().limits.told(now, upstream, told)
    }

    /// How many upstreams have asked this entry for rest.
    pub(crate) fn resting(&self, now: MonoTime) -> usize {
        self.known.lock().rests.count(now)
    }

    /// How many upstreams name a limit.
    pub(crate) fn limited(&self) -> usize {
        self.known.lock().limits.count()
    }
}
