//! The share of a limit that one gateway enforces.

use stallhoist_core::HostId;

/// The share of a limit that one gateway enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryShare {
    entries: u32,
    rank: u32,
}

impl EntryShare {
    /// The share of `own` among the listed gateways, which may not include it yet. `salt` differs
    /// between limits, so that remainders do not always go to the same gateways.
    pub fn of(own: &HostId, entries: &[HostId], salt: u64) -> Self {
        let others = entries.iter().filter(|entry| *entry != own).count();
        let before = entries.iter().filter(|entry| *entry < own).count();
        let count = u32::try_from(others + 1).unwrap_or(u32::MAX);
        let rank = u32::try_from(before).unwrap_or(u32::MAX);
        let offset = u32::try_from(salt % u64::from(count)).unwrap_or(0);
        Self { entries: count, rank: rank.wrapping_add(offset) % count }
    }

    /// The share under the assumption that there are twice as many gateways as are known.
    #[must_use]
    pub fn halved(self) -> Self {
        Self { entries: self.entries.saturating_mul(2), rank: self.rank }
    }

    /// The share of a divisible limit.
    pub fn part(self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.entries)
    }

    /// The share of a limit on whole units; the shares of all gateways add up to the limit.
    pub fn whole_part(self, limit: u32) -> u32 {
        limit / self.entries + u32::from(self.rank < limit % self.entries)
    }
}
