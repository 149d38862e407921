//! The crash record of one request.

use std::collections::BTreeMap;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::FatalConfig;
use super::request_state::Cleared;
use super::request_state::RequestState;
use super::request_state::Suspect;
use crate::balance::UpstreamKey;

/// A crash of an upstream while it ran a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    /// When the crash, or its clearance, was recorded.
    pub(super) learnt_at: MonoTime,
    /// Whether the crash counts: false after a complete response to the request.
    pub(super) counts: bool,
}

/// The stored row of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Row {
    pub(super) version: StoreVersion,
    /// How often the request had been tried again when the row was written.
    pub(super) tries: u32,
}

/// The crash record of one request.
#[derive(Debug)]
pub(super) struct Record {
    ends: BTreeMap<UpstreamKey, Crash>,
    /// The number of crashes that count. Cached, as each peer update needs it for every request on the
    /// same upstreams.
    crash_count: usize,
    pub(super) state: RequestState,
    /// The stored row, if there is one.
    pub(super) row: Option<Row>,
    pub(super) changed_at: MonoTime,
}

impl Record {
    pub(super) fn new(now: MonoTime) -> Self {
        let state = RequestState::Suspect(Suspect);
        Self { ends: BTreeMap::new(), crash_count: 0, state, row: None, changed_at: now }
    }

    /// The upstreams whose crashes count.
    pub(super) fn crashed_upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        self.ends.iter().filter(|(_, crash)| crash.counts).map(|(upstream, _)| *upstream)
    }

    /// Whether the request has a crash of this upstream that counts.
    pub(super) fn has_counted_crash(&self, upstream: UpstreamKey) -> bool {
        self.ends.get(&upstream).is_some_and(|crash| crash.counts)
    }

    pub(super) fn crash_count(&self) -> usize {
        self.crash_count
    }

    /// All crashes, including cleared ones.
    pub(super) fn ends(&self) -> &BTreeMap<UpstreamKey, Crash> {
        &self.ends
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
            *crash = Crash { learnt_at: now, counts: false };
        }
        self.crash_count = 0;
        self.state = RequestState::Cleared(Cleared::at(now));
        self.changed_at = now;
    }

    /// Whether the record can be dropped.
    pub(super) fn is_expired(&self, now: MonoTime, config: &FatalConfig) -> bool {
        let age = now.since(self.changed_at);
        self.row.is_none()
            && match self.state {
                RequestState::Cleared(cleared) => now.since(cleared.since()) >= config.cleared_ttl,
                RequestState::Suspect(_) => age >= config.suspect_ttl,
                RequestState::HeldBack(_) | RequestState::Trying(_) => false,
            }
    }
}
