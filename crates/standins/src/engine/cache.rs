//! Prefix cache of the engine, and the events that it publishes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use serde::Serialize;

const MAX_KEPT_EVENTS: usize = 10_000;

/// Kind of change to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted.
    Removed,
}

/// A published cache event.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) kind: CacheEventKind,
    pub(crate) block: u64,
    #[serde(skip)]
    pub(crate) at: Instant,
}

/// A bounded LRU cache of prompt blocks.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
    last_sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    /// Marks the blocks of a prompt as used. Returns how many leading blocks were already cached.
    pub(crate) fn use_blocks(&mut self, blocks: &[u64], capacity: usize, lose_every: u64) -> usize {
        let cached = blocks.iter().take_while(|b| self.last_use.contains_key(b)).count();
        for block in blocks {
            self.touch(*block, lose_every);
        }
        while self.last_use.len() > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&oldest);
            self.publish(CacheEventKind::Removed, oldest, lose_every);
        }
        cached
    }

    /// Returns the cached blocks.
    pub(crate) fn blocks(&self) -> Vec<u64> {
        self.last_use.keys().copied().collect()
    }

    /// Returns the sequence number of the last event, dropped ones included.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the events after a sequence number that occurred no later than `until`.
    pub(crate) fn events_after(&self, sequence: u64, until: Instant) -> Vec<CacheEvent> {
        let is_due = |event: &&CacheEvent| event.sequence > sequence && event.at <= until;
        self.events.iter().filter(is_due).cloned().collect()
    }

    fn touch(&mut self, block: u64, lose_every: u64) {
        self.clock += 1;
        match self.last_use.insert(block, self.clock) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.publish(CacheEventKind::Stored, block, lose_every),
        }
        self.by_use.insert(self.clock, block);
    }

    fn publish(&mut self, kind: CacheEventKind, block: u64, lose_every: u64) {
        self.last_sequence += 1;
        if lose_every > 0 && self.last_sequence.is_multiple_of(lose_every) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence: self.last_sequence,
            kind,
            block,
            at: Instant::now(),
        });
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
