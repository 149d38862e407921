//! When an entry that has no part of a limit asks whether it still holds.

use std::time::Duration;

use stallhoist_core::MonoTime;

use crate::fleet_bound::Place;
use crate::fleet_bound::Rank;

/// The entries that have a part hear from the upstream, and tell the others. Where none of that has
/// come for so long, one that has no part sends a request of its own.
const QUIET_FOR: Duration = Duration::from_secs(10);

/// The entries that have no part of a limit, one after the other: hundreds that asked at once would be
/// more than it allows.
#[derive(Debug)]
pub(super) struct Turns {
    /// How many entries have a part.
    owners: u32,
    /// The time between two turns.
    pause: Duration,
    /// How many entries are known.
    entries: u32,
}

impl Turns {
    /// Of so many entries, beside so many that have a part and use the limit in full with a request
    /// after each pause.
    pub(super) fn new(entries: u32, owners: u32, pause: Duration) -> Self {
        // Half of the limit, as those that have a part may be using theirs without being heard.
        Self { owners, pause: pause * 2, entries }
    }

    /// The place of an entry that has no part, by its rank. Others, or the first answer, told it of
    /// the limit then; it has sent the last request itself then, if any.
    pub(super) fn place(
        &self,
        now: MonoTime,
        told: MonoTime,
        last_sent: Option<MonoTime>,
        rank: Option<Rank>,
    ) -> Place {
        let place = rank.map_or(self.entries, |rank| rank.place);
        let first = told.after(QUIET_FOR.saturating_add(self.after(place)));
        let next = last_sent.map(|sent| sent.after(self.after(self.entries).max(QUIET_FOR)));
        let at = next.map_or(first, |next| next.max(first));
        if at <= now { Place::Free } else { Place::OthersUntil(at) }
    }

    /// The time until the turn of an entry.
    fn after(&self, place: u32) -> Duration {
        self.pause.saturating_mul(place.saturating_sub(self.owners))
    }
}
