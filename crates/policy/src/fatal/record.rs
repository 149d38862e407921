//! The crash record of one subject.

use std::collections::BTreeMap;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::FatalConfig;
use super::ResponsePhase;
use super::subject_state::Cleared;
use super::subject_state::SubjectState;
use super::subject_state::Suspect;
use crate::balance::UpstreamKey;

/// A crash is published for this many times its time at most: by the gateway that saw it, by a relay and by a gateway that
/// was told by that relay.
const PUBLICATIONS: u32 = 3;

/// A crash of an upstream while it ran a subject.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    /// When the crash, or its clearance, was recorded.
    pub(super) learnt_at: MonoTime,
    /// When the response broke.
    pub(super) at: MonoTime,
    /// Whether the crash counts: false after a response with the subject went well.
    pub(super) counts: bool,
    /// How far the response had come; of several, that which weighs most.
    pub(super) phase: ResponsePhase,
}

/// The stored row of a subject.
#[derive(Debug, Clone, Copy)]
pub(super) struct Row {
    pub(super) version: StoreVersion,
    /// How often the subject had been tried again when the row was written.
    pub(super) tries: u32,
}

/// The crash record of one subject.
#[derive(Debug)]
pub(super) struct Record {
    ends: BTreeMap<UpstreamKey, Crash>,
    /// The number of crashes that count. Cached, as each update needs it for every subject.
    crash_count: usize,
    pub(super) state: SubjectState,
    /// The stored row, if there is one.
    pub(super) row: Option<Row>,
    pub(super) changed_at: MonoTime,
}

impl Record {
    pub(super) fn new(now: MonoTime) -> Self {
        let state = SubjectState::Suspect(Suspect);
        Self { ends: BTreeMap::new(), crash_count: 0, state, row: None, changed_at: now }
    }

    /// The upstreams whose crashes count.
    pub(super) fn crashed_upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        self.ends.iter().filter(|(_, crash)| crash.counts).map(|(upstream, _)| *upstream)
    }

    /// Whether the subject has a crash of this upstream that counts.
    pub(super) fn has_counted_crash(&self, upstream: UpstreamKey) -> bool {
        self.ends.get(&upstream).is_some_and(|crash| crash.counts)
    }

    pub(super) fn crash_count(&self) -> usize {
        self.crash_count
    }

    /// All crashes, including cleared ones.
    pub(super) fn crashes(&self) -> impl Iterator<Item = (UpstreamKey, Crash)> {
        self.ends.iter().map(|(upstream, crash)| (*upstream, *crash))
    }

    pub(super) fn crash_of(&self, upstream: UpstreamKey) -> Option<Crash> {
        self.ends.get(&upstream).copied()
    }

    /// Whether there is room for one more crash. Evicts the oldest cleared one, if no peer publishes it any more.
    pub(super) fn has_room(&mut self, now: MonoTime, config: &FatalConfig) -> bool {
        if self.ends.len() < config.max_crashes_per_subject {
            return true;
        }
        let is_stale =
            |crash: &Crash| now.since(crash.learnt_at) >= PUBLICATIONS * config.publish_for;
        let cleared = self.ends.iter().filter(|(_, crash)| !crash.counts && is_stale(crash));
        let oldest =
            cleared.min_by_key(|(_, crash)| crash.learnt_at).map(|(upstream, _)| *upstream);
        oldest.is_some_and(|oldest| self.ends.remove(&oldest).is_some())
    }

    /// Adds or replaces a crash.
    pub(super) fn set_crash(&mut self, upstream: UpstreamKey, crash: Crash) {
        let previous = self.ends.insert(upstream, crash);
        self.crash_count -= usize::from(previous.is_some_and(|previous| previous.counts));
        self.crash_count += usize::from(crash.counts);
    }

    pub(super) fn crash_count_u32(&self) -> u32 {
        u32::try_from(self.crash_count).unwrap_or(u32::MAX)
    }

    /// Clears all crashes so far.
    pub(super) fn clear(&mut self, now: MonoTime) {
        for crash in self.ends.values_mut().filter(|crash| crash.counts) {
            *crash = Crash { learnt_at: now, counts: false, ..*crash };
        }
        self.crash_count = 0;
        self.state = SubjectState::Cleared(Cleared::at(now));
        self.changed_at = now;
    }

    /// Whether the record can be dropped.
    pub(super) fn is_expired(&self, now: MonoTime, config: &FatalConfig) -> bool {
        let age = now.since(self.changed_at);
        self.row.is_none()
            && match self.state {
                SubjectState::Cleared(cleared) => now.since(cleared.since()) >= config.cleared_ttl,
                SubjectState::Suspect(_) => age >= config.suspect_ttl,
                SubjectState::HeldBack(_) | SubjectState::Trying(_) => false,
            }
    }
}
