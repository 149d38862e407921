//! Decides which requests are quarantined, from the known crashes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;

use super::FatalRequests;
use super::request_state::RequestState;
use super::request_state::Suspect;
use crate::balance::UpstreamKey;

impl FatalRequests {
    /// Reassesses requests and all requests that depend on them: those that ran on the same crashed
    /// upstreams, those that ran with these, and so on. Gateways that learn of the same crashes in a
    /// different order therefore reach the same result.
    ///
    /// Only requests with enough crashes to be quarantined are included, as only quarantined requests
    /// explain crashes; the others are many when many upstreams crash. Requests with the most crashes
    /// come first, as their state decides which crashes of the others are explained.
    pub(super) fn reassess(&mut self, now: MonoTime, mut pending: Vec<RequestFingerprint>) {
        let mut affected: BTreeMap<_, _> = BTreeMap::new();
        while let Some(request) = pending.pop() {
            let Some(record) = self.records.get(&request) else {
                continue;
            };
            let count = record.crash_count();
            let is_held = record.state.quarantined().is_some();
            let is_candidate = is_held || count >= self.config.quarantine_threshold;
            if !is_candidate || affected.insert(request, count).is_some() {
                continue;
            }
            let co_running =
                record.crashed_upstreams().filter_map(|upstream| self.co_running.get(&upstream));
            pending.extend(co_running.flatten().filter(|other| !affected.contains_key(*other)));
        }
        let mut affected: Vec<_> = affected.into_iter().collect();
        affected.sort_by_key(|(_, count)| Reverse(*count));
        for (request, _) in affected {
            self.assess(now, request);
        }
    }

    fn assess(&mut self, now: MonoTime, request: RequestFingerprint) {
        let is_fatal = self.is_fatal(request);
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        match record.state {
            RequestState::Suspect(suspect) if is_fatal => {
                record.state = RequestState::HeldBack(suspect.hold(now));
            }
            // A stored quarantine was agreed with peers, which may know crashes that this gateway
            // doesn't.
            RequestState::HeldBack(_) if !is_fatal && record.row.is_none() => {
                record.state = RequestState::Suspect(Suspect);
            }
            _ => {}
        }
    }

    /// Whether enough upstreams crashed under a request and at least one of these crashes has no other
    /// explanation.
    ///
    /// One unexplained crash is enough: a second fatal request that first ran together with a known one
    /// would otherwise cause three more crashes.
    fn is_fatal(&self, request: RequestFingerprint) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let count = record.crash_count();
        let is_unexplained = |upstream| !self.is_explained(request, count, upstream);
        count >= self.config.quarantine_threshold && record.crashed_upstreams().any(is_unexplained)
    }

    /// Whether a crash is explained by another request: one that is quarantined and has more crashes
    /// than the assessed one.
    fn is_explained(
        &self,
        assessed: RequestFingerprint,
        crashes: usize,
        upstream: UpstreamKey,
    ) -> bool {
        let others = self.co_running.get(&upstream).into_iter().flatten();
        let mut others = others.filter(|other| **other != assessed);
        others.any(|other| {
            let record = self.records.get(other);
            record.is_some_and(|record| {
                record.state.quarantined().is_some() && record.crash_count() > crashes
            })
        })
    }
}
