//! Hashes of a prompt's leading blocks, used to match prompts against prefix caches.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::TokenCount;

/// Estimates the token count of a text as its number of words. Engines report the exact count.
pub fn estimate_tokens(text: &str) -> TokenCount {
    TokenCount(text.split_whitespace().count() as u64)
}

/// Hashes each complete leading block of a prompt. The hash of a block covers all
/// blocks before it, so equal hashes mean equal prefixes.
pub fn prefix_hashes(text: &str, block_tokens: u64) -> Vec<u64> {
    let block_len = usize::try_from(block_tokens).unwrap_or(usize::MAX).max(1);
    let mut hashes = Vec::new();
    let mut prefix_hash = 0;
    let mut in_block = 0;
    for word in text.split_whitespace() {
        prefix_hash = xxh3_64_with_seed(word.as_bytes(), prefix_hash);
        in_block += 1;
        if in_block == block_len {
            hashes.push(prefix_hash);
            in_block = 0;
        }
    }
    hashes
}

/// Returns the block counts, ascending, whose prefix hashes are sent: each one up to 4, two for
/// each doubling after that, and `blocks` itself. The hash of a block covers all blocks before it,
/// so a few marks show how much of a prompt is cached, to within half. Sending the hash of every
/// block of a long prompt would cost more than all other control traffic.
pub fn prefix_marks(blocks: usize) -> Vec<usize> {
    let mut marks = Vec::new();
    let mut octave = 1;
    while octave <= blocks {
        marks.push(octave);
        let midpoint = octave + octave / 2;
        if octave > 1 && midpoint <= blocks {
            marks.push(midpoint);
        }
        octave *= 2;
    }
    if blocks > 0 && marks.last() != Some(&blocks) {
        marks.push(blocks);
    }
    marks
}
