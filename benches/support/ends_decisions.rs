//! What gateways decide about fatal requests, and the records that they share through the store.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::StoreVersion;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::FatalRecord;

use super::Event;
use super::Request;
use super::UPDATE_INTERVAL_S;
use super::World;
use super::seconds;
use crate::ends_setting::Policy;

/// Number of gateways that write to the store.
const WRITERS: usize = 3;
const SETTLED: Duration = Duration::from_millis(500);

impl World {
    /// Decides whether a request may be sent: `None` if not, else whether it has to run isolated from other
    /// requests.
    pub(super) fn decide(&mut self, number: usize) -> Option<bool> {
        let request = self.requests[number];
        match self.setting.policy {
            Policy::Nothing => Some(false),
            Policy::Oracle => {
                let is_known = request.body.is_some_and(|body| !self.ends[body].is_empty());
                (!is_known).then_some(false)
            }
            Policy::ByWorkspace => {
                let third_crash = self.ends.iter().filter_map(|ends| ends.get(2)).min();
                let learned_at =
                    third_crash.map(|at| at.after(seconds(self.setting.update_delay_s)));
                let is_held = request.workspace == 0 && learned_at.is_some_and(|at| self.now >= at);
                (!is_held).then_some(false)
            }
            Policy::Kept | Policy::Alone => {
                match self.trackers[request.entry].disposition(self.now, request.fingerprint.into())
                {
                    Disposition::Free => Some(false),
                    Disposition::Suspect => Some(true),
                    Disposition::HeldBack { .. } => request.is_trial.then_some(true),
                    Disposition::MayTry => self.claim(number).then_some(true),
                }
            }
        }
    }

    /// Claims a trial of a quarantined request through the store, so that only one gateway runs it.
    fn claim(&mut self, number: usize) -> bool {
        let Request { fingerprint, entry, attempts, .. } = self.requests[number];
        let subject = CrashSubject::from(fingerprint);
        if attempts > 0 {
            return false;
        }
        let Some(change) = self.trackers[entry].begin_trial(self.now, subject) else {
            return false;
        };
        let is_agreed = self.commit(subject, change.expected, change.record);
        self.requests[number].is_trial = is_agreed;
        if !is_agreed {
            self.trackers[entry].end_trial(self.now, subject);
        }
        is_agreed
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
        for entry in 0..self.setting.entries {
            self.add(self.setting.update_delay_s, Event::Stored(entry, subject, row));
        }
        true
    }

    pub(super) fn write(&mut self) {
        if self.setting.policy == Policy::Kept {
            for entry in 0..WRITERS.min(self.setting.entries) {
                let mut changes = self.trackers[entry].changes(self.now, SETTLED);
                changes.sort_unstable_by_key(|(subject, _)| *subject);
                for (subject, change) in changes {
                    self.commit(subject, change.expected, change.record);
                }
            }
        }
        self.add(UPDATE_INTERVAL_S, Event::StoreWrites);
    }
}
