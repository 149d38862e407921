//! An estimate of the engine's prefix cache, from events that are delayed and may be lost.

use std::collections::HashSet;

use stallhoist_core::prefix_marks;
use stallhoist_wire::messages::Prefix;

/// The known blocks. A missed event only makes the estimate less accurate; a gap in the
/// sequence numbers requires the complete list.
#[derive(Debug, Default)]
pub(crate) struct CacheView {
    blocks: HashSet<u64>,
    last_sequence: u64,
}

impl CacheView {
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Applies an event; false if events before it are missing.
    pub(crate) fn apply_event(&mut self, sequence: u64, is_stored: bool, block: u64) -> bool {
        let follows = sequence == self.last_sequence + 1;
        self.last_sequence = self.last_sequence.max(sequence);
        if is_stored {
            self.blocks.insert(block);
        } else {
            self.blocks.remove(&block);
        }
        follows
    }

    /// Adds the blocks of a started attempt, which the engine caches before its events arrive.
    pub(crate) fn assume_cached(&mut self, hashes: &[u64]) {
        self.blocks.extend(hashes);
    }

    /// Replaces all blocks by the complete list.
    pub(crate) fn replace(&mut self, last_sequence: u64, blocks: impl IntoIterator<Item = u64>) {
        self.blocks = blocks.into_iter().collect();
        self.last_sequence = last_sequence;
    }

    /// The number of cached tokens at the start of a prompt, to the precision of its marks.
    pub(crate) fn cached_tokens(&self, prefix: &Prefix) -> u64 {
        let marks = prefix_marks(prefix.blocks as usize);
        let known = prefix.mark_hashes.iter().zip(marks);
        let cached = known.take_while(|(hash, _)| self.blocks.contains(hash)).last();
        cached.map_or(0, |(_, blocks)| blocks as u64 * u64::from(prefix.block_tokens))
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }
}
