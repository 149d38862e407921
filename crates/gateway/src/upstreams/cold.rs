//! Upstreams that are warming up ("cold"): updates of their state, and the quota for them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::cold::ColdService;
use stallhoist_policy::fleet_bound::SendQuota;

use super::Upstreams;
use super::UpstreamsState;
use crate::members::Member;

impl Upstreams {
    /// Replaces the configured warm-up settings of all services.
    pub(crate) fn set_cold_services(&self, services: HashMap<ServiceName, ColdService>) {
        self.state.lock().cold_services = services;
    }

    /// Adds a listed gateway, which may be this one, to those that share the bounds on upstreams.
    pub(crate) fn gateway_listed(&self, host: HostId) {
        self.state.lock().fleet.add_gateway(host);
    }

    /// Notes that this gateway is about to list itself.
    pub(crate) fn announce_self(&self, now: MonoTime) {
        self.state.lock().fleet.announce_self(now);
    }

    /// Counts the upstreams of each service that are warming up. Logs when the first one of a service
    /// begins and when the last one is done.
    pub(crate) fn check_warm_up(&self, now: MonoTime) {
        let mut state = self.state.lock();
        state.forget_warm(now);
        let cold = state.count_cold();
        let before = std::mem::replace(&mut state.cold_counts, cold.clone());
        drop(state);
        for (service, count) in &cold {
            if !before.contains_key(service) {
                log::info!(service:% = service, upstreams = count; "upstreams are cold");
            }
        }
        for service in before.keys().filter(|service| !cold.contains_key(*service)) {
            log::info!(service:% = service; "upstreams are warm");
        }
    }
}

impl UpstreamsState {
    /// The quota of an upstream by its warm-up alone.
    pub(super) fn cold_place(&self, now: MonoTime, member: &Member) -> SendQuota {
        let service = self.cold_services.get(&member.service);
        self.cold.place(now, &member.start, service, &self.fleet)
    }

    /// Drops upstreams that have warmed up. Keeps those that are not listed, as their row may be deferred
    /// for a while, and those whose service is not configured yet.
    fn forget_warm(&mut self, now: MonoTime) {
        let is_warm = |incarnation: &&UpstreamIncarnation| {
            self.directory.member(incarnation).is_some_and(|member| {
                self.cold_services.contains_key(&member.service)
                    && self.cold_place(now, member) == SendQuota::Unbounded
            })
        };
        let warm: HashSet<UpstreamIncarnation> =
            self.cold.incarnations().filter(is_warm).cloned().collect();
        self.cold.retain(|incarnation| !warm.contains(incarnation));
    }

    fn count_cold(&self) -> BTreeMap<ServiceName, usize> {
        let mut counts = BTreeMap::new();
        for member in
            self.cold.incarnations().filter_map(|incarnation| self.directory.member(incarnation))
        {
            *counts.entry(member.service.clone()).or_default() += 1;
        }
        counts
    }
}
