//! What entries tell each other of upstreams.

use std::collections::HashMap;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::HealthUpdate;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::WorkByUpstream;
use stallhoist_policy::balance::WorkInProgress;
use stallhoist_policy::named_limits::LimitUpdate;

use super::Known;
use super::Upstreams;

impl Upstreams {
    /// What other entries should know of upstreams that are not well.
    pub(crate) fn health_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, HealthUpdate)> {
        let known = self.known.lock();
        let peer_updates = known.health.peer_updates(now);
        peer_updates.map(|(start, told)| (UpstreamKey::of(start), told)).collect()
    }

    /// Another entry tells what it knows of upstreams that are not well. Gives those that are known to be
    /// over since.
    pub(crate) fn apply_health_updates(
        &self,
        now: MonoTime,
        told: &HashMap<UpstreamKey, HealthUpdate>,
    ) -> Vec<UpstreamIncarnation> {
        let mut terminated = Vec::new();
        if told.is_empty() {
            return terminated;
        }
        let Known { directory, health, .. } = &mut *self.known.lock();
        for (member, _) in directory.iter() {
            let start = &member.start;
            if let Some(told) = told.get(&UpstreamKey::of(start)) {
                let before = health.fitness(now, start);
                health.apply_peer_update(now, start, *told);
                if before < Fitness::Over && health.fitness(now, start) == Fitness::Over {
                    terminated.push(start.clone());
                }
            }
        }
        terminated
    }

    /// What other entries should know of limits.
    pub(crate) fn limit_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, LimitUpdate)> {
        self.known.lock().limits.peer_updates(now).collect()
    }

    /// The same for one that starts.
    pub(crate) fn startup_limit_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, LimitUpdate)> {
        self.known.lock().limits.startup_peer_updates(now).collect()
    }

    /// Another entry tells what it knows of a limit. Says whether that is another one than before.
    pub(crate) fn apply_limit_update(
        &self,
        now: MonoTime,
        upstream: UpstreamKey,
        told: LimitUpdate,
    ) -> bool {
        self.known.lock().limits.apply_peer_update(now, upstream, told)
    }

    /// This entry's work in progress, and what the entries that are `included` told of theirs:
    /// what it tells others.
    pub(crate) fn work(&self, included: impl Fn(&HostId) -> bool) -> WorkByUpstream {
        if !self.decisions.tells_work {
            return WorkByUpstream::new();
        }
        let known = self.known.lock();
        let mut work = known.load.local_work().collect();
        known.peer_work.sum_into(&mut work, included);
        work
    }

    /// Another entry told its work in progress.
    pub(crate) fn apply_fleet_work(
        &self,
        now: MonoTime,
        host: HostId,
        work: impl IntoIterator<Item = (UpstreamKey, WorkInProgress)>,
    ) {
        self.known.lock().peer_work.apply_peer_update(now, host, work);
    }

    /// Drops what other entries told too long ago.
    pub(crate) fn expire_fleet_work(&self, now: MonoTime) {
        self.known.lock().peer_work.expire(now);
    }
}
