//! What gateways decide about requests with suspected parts, tell each other, and share through the store.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::StoreVersion;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::FatalRecord;

use super::Event;
use super::World;
use crate::parts_setting::Policy;

/// Number of gateways that write to the store.
const WRITERS: usize = 3;
const SETTLED: Duration = Duration::from_millis(500);
/// How soon after a change a gateway sends its news.
const URGENT_DELAY_S: f64 = 0.02;
const STORE_INTERVAL_S: f64 = 0.2;

impl World {
    /// Decides whether a request may be sent: `None` if not, else the seed that selects its upstream, if it is isolated.
    pub(super) fn decide(&mut self, number: usize) -> Option<Option<u64>> {
        let request = &self.requests[number];
        if self.setting.policy == Policy::Oracle {
            let is_known = request.fatal_part.is_some_and(|fatal| !self.crashes[fatal].is_empty());
            return (!is_known).then_some(None);
        }
        let own = CrashSubject::from(request.fingerprint);
        let parts = request.parts.iter().copied().map(CrashSubject::from);
        let subjects: Vec<_> = std::iter::once(own).chain(parts).collect();
        let (gateway, seed) = (request.gateway, request.fingerprint.seed());
        let mut isolation_seed = None;
        for subject in subjects {
            match self.gateways[gateway].tracker.disposition(self.now, subject) {
                Disposition::Free => {}
                Disposition::Suspect if subject == own => isolation_seed = Some(seed),
                Disposition::Suspect => {}
                Disposition::MayTry if self.claim(number, subject) => isolation_seed = Some(seed),
                Disposition::HeldBack { .. } | Disposition::MayTry => {
                    self.reject(number, subject);
                    return None;
                }
            }
        }
        Some(isolation_seed)
    }

    fn reject(&mut self, number: usize, held: CrashSubject) {
        self.end_trials(number);
        if self.requests[number].fatal_part.is_some() {
            return;
        }
        self.result.held_back += 1;
        self.result.lost += 1;
        if held.is_part() {
            self.wrong_parts.insert(held);
        }
    }

    /// Claims a trial of a quarantined subject through the store, so that only one gateway runs it.
    fn claim(&mut self, number: usize, subject: CrashSubject) -> bool {
        let request = &self.requests[number];
        if request.attempts > 0 {
            return false;
        }
        let gateway = request.gateway;
        let Some(change) = self.gateways[gateway].tracker.begin_trial(self.now, subject) else {
            return false;
        };
        let is_agreed = self.commit(subject, change.expected, change.record);
        if is_agreed {
            self.requests[number].trials.push(subject);
        } else {
            self.gateways[gateway].tracker.end_trial(self.now, subject);
        }
        is_agreed
    }

    pub(super) fn end_trials(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let tracker = &mut self.gateways[request.gateway].tracker;
        for subject in request.trials.drain(..) {
            tracker.end_trial(self.now, subject);
        }
    }

    pub(super) fn clear_parts(&mut self, number: usize) {
        if self.setting.policy != Policy::Parts {
            return;
        }
        let request = &self.requests[number];
        let (gateway, parts) = (request.gateway, request.parts.clone());
        let tracker = &mut self.gateways[gateway].tracker;
        if !tracker.survived(self.now, &parts).is_empty() {
            self.publish_soon(gateway);
        }
    }

    pub(super) fn clear_request(&mut self, number: usize) {
        let request = &self.requests[number];
        let gateway = request.gateway;
        let tracker = &mut self.gateways[gateway].tracker;
        if tracker.answered(self.now, request.fingerprint.into()) {
            self.publish_soon(gateway);
        }
    }

    pub(super) fn publish_soon(&mut self, gateway: usize) {
        if !std::mem::replace(&mut self.gateways[gateway].is_publishing, true) {
            self.add(URGENT_DELAY_S, Event::Publish(gateway));
        }
    }

    pub(super) fn handle_news(&mut self, event: Event) {
        match event {
            Event::Publish(from) => self.publish(from),
            Event::PeerUpdate(gateway, updates) => {
                let tracker = &mut self.gateways[gateway].tracker;
                if tracker.apply_peer_update(self.now, updates.iter().copied()) > 0 {
                    self.publish_soon(gateway);
                }
            }
            Event::Stored(gateway, subject, row) => {
                let tracker = &mut self.gateways[gateway].tracker;
                match row {
                    Some((version, record)) => tracker.stored(self.now, subject, version, record),
                    None => tracker.unstored(self.now, subject),
                }
            }
            Event::StoreWrites => self.write(),
            _ => {}
        }
    }

    /// Sends what a gateway has learnt since the last time to all others.
    fn publish(&mut self, from: usize) {
        self.gateways[from].is_publishing = false;
        let updates = self.gateways[from].tracker.peer_updates(self.now);
        self.result.updates += updates.len();
        let updates: std::sync::Arc<[_]> = updates.into();
        for gateway in (0..self.setting.gateways).filter(|gateway| *gateway != from) {
            let delay_s = self.setting.update_delay_s;
            self.add(delay_s, Event::PeerUpdate(gateway, updates.clone()));
        }
    }

    fn commit(
        &mut self,
        subject: CrashSubject,
        expected: Option<StoreVersion>,
        record: Option<FatalRecord>,
    ) -> bool {
        if self.rows.get(&subject).map(|(version, _)| *version) != expected {
            return false;
        }
        self.version += 1;
        let row = record.map(|record| (StoreVersion::of(self.version), record));
        match row {
            Some(row) => self.rows.insert(subject, row),
            None => self.rows.remove(&subject),
        };
        for gateway in 0..self.setting.gateways {
            self.add(self.setting.update_delay_s, Event::Stored(gateway, subject, row));
        }
        true
    }

    fn write(&mut self) {
        for gateway in 0..WRITERS.min(self.setting.gateways) {
            let mut changes = self.gateways[gateway].tracker.changes(self.now, SETTLED);
            changes.sort_unstable_by_key(|(subject, _)| *subject);
            for (subject, change) in changes {
                self.commit(subject, change.expected, change.record);
            }
        }
        self.add(STORE_INTERVAL_S, Event::StoreWrites);
    }
}
