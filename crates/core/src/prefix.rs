//! Hashes of a prompt's leading blocks, by which prefix caches are compared.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::TokenCount;

/// A rough count of a text's tokens: its words. Engines report the true count.
pub fn estimate_tokens(text: &str) -> TokenCount {
    TokenCount(text.split_whitespace().count() as u64)
}

/// The hash of each whole leading block of a prompt. The hash of a block covers all
/// blocks before it, so equal hashes mean equal prefixes.
pub fn prefix_hashes(text: &str, block_tokens: u64) -> Vec<u64> {
    let block_len = usize::try_from(block_tokens).unwrap_or(usize::MAX).max(1);
    let mut hashes = Vec::new();
    let mut so_far = 0;
    let mut in_block = 0;
    for word in text.split_whitespace() {
        so_far = xxh3_64_with_seed(word.as_bytes(), so_far);
        in_block += 1;
        if in_block == block_len {
            hashes.push(so_far);
            in_block = 0;
        }
    }
    hashes
}

/// The numbers of leading blocks whose hashes are worth telling: every one up to four,
/// two in each doubling after that, and all. The hash of a block covers all before it,
/// so a few marks tell how far a prompt is cached, to within a half; telling each block
/// of a long prompt would cost more than all other control.
pub fn prefix_marks(blocks: usize) -> Vec<usize> {
    let mut marks = Vec::new();
    let mut octave = 1;
    while octave <= blocks {
        marks.push(octave);
        let half_way = octave + octave / 2;
        if octave > 1 && half_way <= blocks {
            marks.push(half_way);
        }
        octave *= 2;
    }
    if blocks > 0 && marks.last() != Some(&blocks) {
        marks.push(blocks);
    }
    marks
}
