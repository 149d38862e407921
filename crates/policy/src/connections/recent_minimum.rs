//! The smallest of the latest values of a count that peers were told.

/// Updates after which all peers have heard of a count: to the relay, between relays, from there to the others, and
/// one that was lost.
const UPDATES: usize = 4;

/// The smallest of the latest values of a count that peers were told. Peers know of at least this much.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecentMinimum {
    by_update: [u32; UPDATES],
}

impl RecentMinimum {
    /// Records that peers are being told `count`.
    pub fn told(&mut self, count: u32) {
        self.by_update.rotate_right(1);
        let [latest, ..] = &mut self.by_update;
        *latest = count;
    }

    /// The smallest value.
    pub fn get(&self) -> u32 {
        self.by_update.into_iter().min().unwrap_or(0)
    }
}
