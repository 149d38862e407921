//! Merges crashes, of this gateway and of its peers.

use std::cmp::Reverse;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;

use super::FatalSubjects;
use super::ResponsePhase;
use super::Weight;
use super::record::Crash;
use super::record::Record;
use super::subject_state::SubjectState;
use super::subject_state::Suspect;
use crate::balance::UpstreamKey;

/// A peer update: an upstream crashed while it ran a request with a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashUpdate {
    /// The request, or the part of its prompt.
    pub subject: CrashSubject,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When the response broke.
    pub at: MonoTime,
    /// How far the response had come.
    pub phase: ResponsePhase,
    /// Whether a response with the subject has gone well since, so that the crash does not count.
    pub is_cleared: bool,
}

impl FatalSubjects {
    /// Merges crashes received from a peer and returns how many are new. They are assessed together, once.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        updates: impl IntoIterator<Item = CrashUpdate>,
    ) -> usize {
        let new = updates.into_iter().filter(|update| self.add_crash(now, *update)).count();
        if new > 0 {
            self.reassess(now);
        }
        new
    }

    /// Adds a crash. Returns whether it is new.
    pub(super) fn add_crash(&mut self, now: MonoTime, update: CrashUpdate) -> bool {
        let CrashUpdate { subject, upstream, at, phase, is_cleared } = update;
        if !self.has_room(now, &update) {
            return false;
        }
        let record = self.records.entry(subject).or_insert_with(|| Record::new(now));
        let known = record.crash_of(upstream);
        let weighs_more = |known: Crash| Weight::of_phase(phase) > Weight::of_phase(known.phase);
        let is_news = known.is_none_or(|known| known.counts && (is_cleared || weighs_more(known)));
        if !is_news {
            return false;
        }
        // A subject that is known only by its row is not cleared by an update on a crash that was never
        // known here.
        let is_known_by_row = record.row.is_some() && !record.has_counted_crash(upstream);
        let at = known.map_or(at, |known| known.at);
        record.set_crash(upstream, Crash { learnt_at: now, at, counts: !is_cleared, phase });
        record.changed_at = now;
        if is_cleared {
            if record.crash_count() == 0 && !is_known_by_row {
                record.clear(now);
            }
            if known.is_some() {
                self.shrink_crash(upstream);
            }
        } else {
            if record.state.is_cleared() {
                record.state = SubjectState::Suspect(Suspect);
            }
            if known.is_none() {
                *self.crash_sizes.entry(upstream).or_default() += 1;
            }
        }
        true
    }

    /// Whether there is room for one more crash. Evicts the subject that has not changed for the
    /// longest time, unless it is quarantined.
    fn has_room(&mut self, now: MonoTime, update: &CrashUpdate) -> bool {
        let record = self.records.get_mut(&update.subject);
        if record.as_ref().is_some_and(|record| record.crash_of(update.upstream).is_some()) {
            return true;
        }
        let crash_size = self.crash_sizes.get(&update.upstream).copied().unwrap_or_default();
        if !update.is_cleared && crash_size >= self.config.max_subjects_per_crash {
            return false;
        }
        if let Some(record) = record {
            return record.has_room(now, &self.config);
        }
        if self.records.len() < self.config.max_subjects {
            return true;
        }
        let evictable =
            self.records.iter().filter(|(_, record)| record.state.quarantined().is_none());
        let oldest =
            evictable.min_by_key(|(_, record)| record.changed_at).map(|(subject, _)| *subject);
        oldest.is_some_and(|oldest| {
            self.remove(oldest);
            true
        })
    }

    /// One subject less counts on a crashed upstream.
    pub(super) fn shrink_crash(&mut self, upstream: UpstreamKey) {
        if let Some(size) = self.crash_sizes.get_mut(&upstream) {
            *size -= 1;
            if *size == 0 {
                self.crash_sizes.remove(&upstream);
            }
        }
    }

    /// Crashes recorded lately, to send to peers that have followed the earlier updates. The latest come first.
    pub fn peer_updates(&self, now: MonoTime) -> Vec<CrashUpdate> {
        let is_late = |crash: &Crash| now.since(crash.learnt_at) < self.config.publish_for;
        let mut updates: Vec<_> = self.all_updates().filter(|(crash, _)| is_late(crash)).collect();
        updates.sort_by_key(|(crash, update)| (Reverse(crash.learnt_at), update.subject));
        updates.into_iter().map(|(_, update)| update).collect()
    }

    /// Crashes to send to a peer that has just started.
    pub fn startup_peer_updates(&self) -> impl Iterator<Item = CrashUpdate> {
        self.all_updates().map(|(_, update)| update)
    }

    fn all_updates(&self) -> impl Iterator<Item = (Crash, CrashUpdate)> {
        self.records.iter().flat_map(|(subject, record)| {
            record.crashes().map(|(upstream, crash)| {
                let Crash { at, phase, counts, .. } = crash;
                let is_cleared = !counts;
                (crash, CrashUpdate { subject: *subject, upstream, at, phase, is_cleared })
            })
        })
    }
}
