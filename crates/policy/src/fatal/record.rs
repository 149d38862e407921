//! What is known of one request.

use std::collections::BTreeMap;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::FatalConfig;
use super::standing::Cleared;
use super::standing::Standing;
use super::standing::Suspect;
use crate::balance::UpstreamKey;

/// An end of an upstream while it ran a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    /// When this was learnt, or that it does not count.
    pub(super) learnt: MonoTime,
    /// Whether it counts: the request has not been answered whole since.
    pub(super) counts: bool,
}

/// The row that the store has of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Row {
    pub(super) version: StoreVersion,
    /// How often the request had been tried again by then.
    pub(super) tries: u32,
}

/// What is known of one request.
#[derive(Debug)]
pub(super) struct Record {
    ends: BTreeMap<UpstreamKey, End>,
    /// How many of them count: asked for each request beside it, at each news.
    count: usize,
    pub(super) standing: Standing,
    /// Its row in the store, if there is one.
    pub(super) row: Option<Row>,
    pub(super) changed: MonoTime,
}

impl Record {
    pub(super) fn new(now: MonoTime) -> Self {
        let standing = Standing::Suspect(Suspect);
        Self { ends: BTreeMap::new(), count: 0, standing, row: None, changed: now }
    }

    /// The upstreams whose ends count.
    pub(super) fn counted(&self) -> impl Iterator<Item = UpstreamKey> {
        self.ends.iter().filter(|(_, end)| end.counts).map(|(upstream, _)| *upstream)
    }

    /// Whether it ran on an upstream that ended, and that counts.
    pub(super) fn counts(&self, upstream: UpstreamKey) -> bool {
        self.ends.get(&upstream).is_some_and(|end| end.counts)
    }

    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// All ends, also those that do not count.
    pub(super) fn ends(&self) -> &BTreeMap<UpstreamKey, End> {
        &self.ends
    }

    /// An end is so from now on.
    pub(super) fn set_end(&mut self, upstream: UpstreamKey, end: End) {
        let before = self.ends.insert(upstream, end);
        self.count -= usize::from(before.is_some_and(|before| before.counts));
        self.count += usize::from(end.counts);
    }

    pub(super) fn count_u32(&self) -> u32 {
        u32::try_from(self.count).unwrap_or(u32::MAX)
    }

    /// Its ends so far do not count any more.
    pub(super) fn clear(&mut self, now: MonoTime) {
        for end in self.ends.values_mut().filter(|end| end.counts) {
            *end = End { learnt: now, counts: false };
        }
        self.count = 0;
        self.standing = Standing::Cleared(Cleared::at(now));
        self.changed = now;
    }

    /// Whether there is no use in remembering it.
    pub(super) fn is_over(&self, now: MonoTime, config: &FatalConfig) -> bool {
        let age = now.since(self.changed);
        self.row.is_none()
            && match self.standing {
                Standing::Cleared(cleared) => now.since(cleared.since()) >= config.cleared_ttl,
                Standing::Suspect(_) => age >= config.suspect_ttl,
                Standing::HeldBack(_) | Standing::Trying(_) => false,
            }
    }
}
