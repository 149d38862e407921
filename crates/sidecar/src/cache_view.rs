//! What is known of the engine's prefix cache, from events that come late and with gaps.

use std::collections::HashSet;

use stallhoist_core::prefix_marks;
use stallhoist_wire::messages::Prefix;

/// The known blocks. A missing event only makes the estimate worse; a gap in the
/// numbers asks for the whole list.
#[derive(Debug, Default)]
pub(crate) struct CacheView {
    blocks: HashSet<u64>,
    last_sequence: u64,
}

impl CacheView {
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Takes in one event; false when events before it are missing.
    pub(crate) fn event(&mut self, sequence: u64, is_stored: bool, block: u64) -> bool {
        let follows = sequence == self.last_sequence + 1;
        self.last_sequence = self.last_sequence.max(sequence);
        if is_stored {
            self.blocks.insert(block);
        } else {
            self.blocks.remove(&block);
        }
        follows
    }

    /// Work with these blocks was started: the engine caches them, and its events will
    /// say so later.
    pub(crate) fn started(&mut self, hashes: &[u64]) {
        self.blocks.extend(hashes);
    }

    /// Takes in the whole list.
    pub(crate) fn replace(&mut self, last_sequence: u64, blocks: impl IntoIterator<Item = u64>) {
        self.blocks = blocks.into_iter().collect();
        self.last_sequence = last_sequence;
    }

    /// How many tokens of a prompt's leading blocks are cached, as far as its marks tell.
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
