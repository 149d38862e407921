//! What upstreams say of themselves in answers.

use std::collections::HashMap;

use stallhoist_core::MonoTime;
use stallhoist_core::StartId;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::cold::ToldCold;
use stallhoist_policy::named_limits::TellableLimit;

use super::Known;
use super::Upstreams;
use crate::notice::Notice;

impl Upstreams {
    /// An upstream has said something of itself, in an answer to a request that was sent then.
    pub(crate) fn heard(&self, now: MonoTime, start: &StartId, sent: MonoTime, notice: &Notice) {
        let mut known = self.known.lock();
        if let Some(load) = notice.load {
            known.load.reported(now, start, load);
        }
        if let Some(cold) = notice.cold {
            known.cold.told(now, start, ToldCold::For(cold));
        }
        let is_other_limit = known.limits.heard(now, start, sent, notice.limit);
        drop(known);
        if is_other_limit {
            log::info!(start:% = start, limit:? = notice.limit; "an upstream's limit has changed");
            self.changed.notify_waiters();
        }
    }

    /// What other entries should know of limits.
    pub(crate) fn named_limits(&self, now: MonoTime) -> Vec<(UpstreamKey, TellableLimit)> {
        let known = self.known.lock();
        let tellable = known.limits.tellable(now);
        tellable.map(|(start, told)| (UpstreamKey::of(start), told)).collect()
    }

    /// Another entry tells what it knows of limits.
    pub(crate) fn told_limits(&self, now: MonoTime, told: &HashMap<UpstreamKey, TellableLimit>) {
        if told.is_empty() {
            return;
        }
        let Known { directory, limits, .. } = &mut *self.known.lock();
        for (member, _) in directory.iter() {
            let start = &member.start;
            if let Some(told) = told.get(&UpstreamKey::of(start))
                && limits.told(now, start, *told)
            {
                log::info!(start:% = start, limit:? = told.limit; "told of an upstream's limit");
            }
        }
    }

    /// How many upstreams name a limit.
    pub(crate) fn limited(&self) -> usize {
        self.known.lock().limits.count()
    }
}
