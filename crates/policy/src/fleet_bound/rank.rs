//! The rank of a gateway among all, and the share that follows from it.

use std::cell::Cell;

/// The rank of a gateway among all, for one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Number of gateways ranked before it.
    pub place: u32,
    /// Number of all gateways.
    pub entries: u32,
}

impl Rank {
    /// The share of this gateway in `total` requests that are divided among at most `max_owners`
    /// gateways. The remainder of the division goes to the first ranks, one request each.
    pub fn share(self, total: u32, max_owners: u32) -> u32 {
        let owners = self.entries.min(max_owners).clamp(1, total.max(1));
        if self.place >= owners {
            return 0;
        }
        total / owners + u32::from(self.place < total % owners)
    }
}

/// A cached rank for one upstream, with the generation of the fleet for which it is valid.
#[derive(Debug, Default)]
pub(crate) struct RankCache(Cell<Option<(u64, Option<Rank>)>>);

impl RankCache {
    /// The rank cached for a generation of the fleet; computes it by `rank` if there is none.
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
