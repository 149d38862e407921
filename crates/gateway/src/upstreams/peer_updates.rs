//! Updates on upstreams that gateways exchange.

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

use super::Upstreams;
use super::UpstreamsState;

impl Upstreams {
    /// Updates to send to peers on the health of upstreams that are not healthy.
    pub(crate) fn health_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, HealthUpdate)> {
        let state = self.state.lock();
        let peer_updates = state.health.peer_updates(now);
        peer_updates.map(|(incarnation, update)| (UpstreamKey::of(incarnation), update)).collect()
    }

    /// Merges health updates from a peer. Returns the incarnations that they show to have terminated.
    pub(crate) fn apply_health_updates(
        &self,
        now: MonoTime,
        updates: &HashMap<UpstreamKey, HealthUpdate>,
    ) -> Vec<UpstreamIncarnation> {
        let mut terminated = Vec::new();
        if updates.is_empty() {
            return terminated;
        }
        let UpstreamsState { directory, health, .. } = &mut *self.state.lock();
        for (member, _) in directory.iter() {
            let incarnation = &member.start;
            if let Some(update) = updates.get(&UpstreamKey::of(incarnation)) {
                let before = health.fitness(now, incarnation);
                health.apply_peer_update(now, incarnation, *update);
                if before < Fitness::Over && health.fitness(now, incarnation) == Fitness::Over {
                    terminated.push(incarnation.clone());
                }
            }
        }
        terminated
    }

    /// Updates to send to peers on rate limits.
    pub(crate) fn limit_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, LimitUpdate)> {
        self.state.lock().limits.peer_updates(now).collect()
    }

    /// Updates on rate limits to send to a peer that has just started.
    pub(crate) fn startup_limit_updates(&self, now: MonoTime) -> Vec<(UpstreamKey, LimitUpdate)> {
        self.state.lock().limits.startup_peer_updates(now).collect()
    }

    /// Merges an update on a rate limit from a peer. Returns whether the known limit has changed.
    pub(crate) fn apply_limit_update(
        &self,
        now: MonoTime,
        upstream: UpstreamKey,
        update: LimitUpdate,
    ) -> bool {
        self.state.lock().limits.apply_peer_update(now, upstream, update)
    }

    /// The work in progress to send to peers: that of this gateway, and that received from the gateways
    /// that `included` accepts.
    pub(crate) fn work(&self, included: impl Fn(&HostId) -> bool) -> WorkByUpstream {
        if !self.decisions.tells_work {
            return WorkByUpstream::new();
        }
        let state = self.state.lock();
        let mut work = state.load.local_work().collect();
        state.peer_work.sum_into(&mut work, included);
        work
    }

    /// Merges the work in progress received from a peer.
    pub(crate) fn apply_fleet_work(
        &self,
        now: MonoTime,
        host: HostId,
        work: impl IntoIterator<Item = (UpstreamKey, WorkInProgress)>,
    ) {
        self.state.lock().peer_work.apply_peer_update(now, host, work);
    }

    /// Notes that this gateway's work is being sent to peers.
    pub(crate) fn record_work_told(&self) {
        self.state.lock().load.record_told();
    }

    /// Drops work received from peers whose time to live has passed.
    pub(crate) fn expire_fleet_work(&self, now: MonoTime) {
        let mut state = self.state.lock();
        state.peer_work.expire(now);
        state.upstream_speeds.expire(now);
    }
}
