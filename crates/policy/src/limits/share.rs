//! The part of a limit that one entry keeps to.

use stallhoist_core::HostId;

/// The part of a limit that one entry keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryShare {
    entries: u32,
    rank: u32,
}

impl EntryShare {
    /// The share of `own` among the entries of a list, which may lack it still. `salt` differs
    /// from limit to limit, so that what cannot be divided does not always go to the same ones.
    pub fn of(own: &HostId, entries: &[HostId], salt: u64) -> Self {
        let others = entries.iter().filter(|entry| *entry != own).count();
        let before = entries.iter().filter(|entry| *entry < own).count();
        let count = u32::try_from(others + 1).unwrap_or(u32::MAX);
        let rank = u32::try_from(before).unwrap_or(u32::MAX);
        let turn = u32::try_from(salt % u64::from(count)).unwrap_or(0);
        Self { entries: count, rank: rank.wrapping_add(turn) % count }
    }

    /// The share when there may be twice as many entries as are known.
    #[must_use]
    pub fn halved(self) -> Self {
        Self { entries: self.entries.saturating_mul(2), rank: self.rank }
    }

    /// The part of something that can be divided at will.
    pub fn part(self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.entries)
    }

    /// The part of things that cannot: the shares of all add up to the limit.
    pub fn whole_part(self, limit: u32) -> u32 {
        limit / self.entries + u32::from(self.rank < limit % self.entries)
    }
}
