//! What is learnt of upstreams that are cold, and what may be sent to them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::cold::ColdService;
use stallhoist_policy::fleet_bound::SendQuota;

use super::Known;
use super::Upstreams;
use crate::members::Member;

impl Upstreams {
    /// What the configuration says of each service.
    pub(crate) fn set_cold_services(&self, services: HashMap<ServiceName, ColdService>) {
        self.known.lock().cold_services = services;
    }

    /// Another entry, or this one, is listed: cold upstreams' requests are divided among all.
    pub(crate) fn gateway_listed(&self, host: HostId) {
        self.known.lock().fleet.add_gateway(host);
    }

    /// This entry is about to list itself.
    pub(crate) fn announce_self(&self, now: MonoTime) {
        self.known.lock().fleet.announce_self(now);
    }

    /// Counts the upstreams of each service that are cold; logs where the first one is, or none any more.
    pub(crate) fn check_warm_up(&self, now: MonoTime) {
        let mut known = self.known.lock();
        known.forget_warm(now);
        let cold = known.count_cold();
        let before = std::mem::replace(&mut known.cold_counts, cold.clone());
        drop(known);
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

impl Known {
    /// Whether a request may be sent to an upstream now, as far as it is cold.
    pub(super) fn cold_place(&self, now: MonoTime, member: &Member) -> SendQuota {
        let service = self.cold_services.get(&member.service);
        self.cold.place(now, &member.start, service, &self.fleet)
    }

    /// Forgets that upstreams were cold which are not any more. One stays that is not listed yet, as
    /// its entry may not be believed for a while, or of whose service nothing is known yet.
    fn forget_warm(&mut self, now: MonoTime) {
        let is_warm = |start: &&UpstreamIncarnation| {
            self.directory.member(start).is_some_and(|member| {
                self.cold_services.contains_key(&member.service)
                    && self.cold_place(now, member) == SendQuota::Unbounded
            })
        };
        let warm: HashSet<UpstreamIncarnation> =
            self.cold.incarnations().filter(is_warm).cloned().collect();
        self.cold.retain(|start| !warm.contains(start));
    }

    fn count_cold(&self) -> BTreeMap<ServiceName, usize> {
        let mut counts = BTreeMap::new();
        for member in self.cold.incarnations().filter_map(|start| self.directory.member(start)) {
            *counts.entry(member.service.clone()).or_default() += 1;
        }
        counts
    }
}
