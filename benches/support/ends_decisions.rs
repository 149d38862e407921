//! What entries decide of requests that end upstreams, and what they agree on through the store.

use std::time::Duration;

use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;
use stallhoist_policy::fatal::Disposition;
use stallhoist_policy::fatal::FatalRecord;

use super::Event;
use super::Request;
use super::TELL_EVERY_S;
use super::World;
use super::seconds;
use crate::ends_setting::Policy;

/// These entries write to the store.
const WRITERS: usize = 3;
const SETTLED: Duration = Duration::from_millis(500);

impl World {
    /// What may be done with a request: whether it is sent, and whether apart from others.
    pub(super) fn allows(&mut self, number: usize) -> Option<bool> {
        let request = self.requests[number];
        match self.setting.policy {
            Policy::Nothing => Some(false),
            Policy::Oracle => {
                let is_known = request.body.is_some_and(|body| !self.ends[body].is_empty());
                (!is_known).then_some(false)
            }
            Policy::ByWorkspace => {
                let known = self.ends.iter().filter_map(|ends| ends.get(2)).min();
                let heard = known.map(|at| at.after(seconds(self.setting.news_s)));
                let is_held = request.workspace == 0 && heard.is_some_and(|at| self.now >= at);
                (!is_held).then_some(false)
            }
            Policy::Kept | Policy::Alone => {
                match self.books[request.entry].verdict(self.now, request.print) {
                    Disposition::Free => Some(false),
                    Disposition::Suspect => Some(true),
                    Disposition::HeldBack { .. } => request.is_trying.then_some(true),
                    Disposition::MayTry => self.claim(number).then_some(true),
                }
            }
        }
    }

    /// Asks the store whether a request may be tried again.
    fn claim(&mut self, number: usize) -> bool {
        let Request { print, entry, attempts, .. } = self.requests[number];
        if attempts > 0 {
            return false;
        }
        let Some(change) = self.books[entry].begin_trial(self.now, print) else {
            return false;
        };
        let is_agreed = self.commit(print, change.expected, change.record);
        self.requests[number].is_trying = is_agreed;
        if !is_agreed {
            self.books[entry].end_trial(self.now, print);
        }
        is_agreed
    }

    fn commit(
        &mut self,
        print: RequestFingerprint,
        expected: Option<StoreVersion>,
        record: Option<FatalRecord>,
    ) -> bool {
        if self.rows.get(&print).map(|(version, _)| *version) != expected {
            return false;
        }
        self.version += 1;
        let row = record.map(|record| (StoreVersion::of(self.version), record));
        match row {
            Some(row) => self.rows.insert(print, row),
            None => self.rows.remove(&print),
        };
        for entry in 0..self.setting.entries {
            self.add(self.setting.news_s, Event::Stored(entry, print, row));
        }
        true
    }

    pub(super) fn write(&mut self) {
        if self.setting.policy == Policy::Kept {
            for entry in 0..WRITERS.min(self.setting.entries) {
                let mut changes = self.books[entry].changes(self.now, SETTLED);
                changes.sort_unstable_by_key(|(print, _)| *print);
                for (print, change) in changes {
                    self.commit(print, change.expected, change.record);
                }
            }
        }
        self.add(TELL_EVERY_S, Event::Writers);
    }
}
