//! Where an entry stands among all, and what part that gives it.

use std::cell::Cell;

/// Where an entry stands among all, for one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// How many come before it.
    pub place: u32,
    /// How many there are.
    pub entries: u32,
}

impl Rank {
    /// What one entry may send of what all may, divided among `max_owners` at most: those that
    /// come first have the requests that are left over.
    pub fn share(self, total: u32, max_owners: u32) -> u32 {
        let owners = self.entries.min(max_owners).clamp(1, total.max(1));
        if self.place >= owners {
            return 0;
        }
        total / owners + u32::from(self.place < total % owners)
    }
}

/// The rank for one upstream, and the generation of the fleet that it holds for.
#[derive(Debug, Default)]
pub(crate) struct RankCache(Cell<Option<(u64, Option<Rank>)>>);

impl RankCache {
    /// The rank that was worked out for a generation of the fleet, or is by `rank`.
    pub(crate) fn get(&self, generation: u64, rank: impl FnOnce() -> Option<Rank>) -> Option<Rank> {
        match self.0.get() {
            Some((known, rank)) if known == generation => rank,
            _ => {
                let rank = rank();
                self.0.set(Some((generation, rank)));
                rank
            }
        }
    }
}
