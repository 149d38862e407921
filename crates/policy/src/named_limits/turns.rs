//! When an entry that has no part of a limit asks whether it still holds.

use std::time::Duration;

use stallhoist_core::MonoTime;

use crate::fleet_bound::Rank;
use crate::fleet_bound::SendQuota;

/// The entries that have a part hear from the upstream, and tell the others. Where none of that has
/// come for so long, one that has no part sends a request of its own.
const QUIET_FOR: Duration = Duration::from_secs(10);

/// The entries that have no part may use a third of the limit together: those that have one may be using
/// all of it without being heard.
const PAUSES_A_TURN: u32 = 3;

/// The entries that have no part of a limit, one after the other: hundreds that asked at once would be
/// more than it allows. A turn that is not used is over, as unused ones would come together.
#[derive(Debug)]
pub(super) struct Turns {
    /// How many entries have a part.
    owners: u32,
    /// How many entries are known.
    entries: u32,
    /// How long a turn lasts.
    turn: Duration,
}

impl Turns {
    /// Of so many entries, beside so many that have a part and use the limit in full with a request
    /// after each pause.
    pub(super) fn new(entries: u32, owners: u32, pause: Duration) -> Self {
        Self { owners, entries, turn: pause * PAUSES_A_TURN }
    }

    /// The place of an entry that has no part, by its rank; one that is not listed comes last. Others,
    /// or the first answer, told it of the limit then; it has sent the last request itself then, if any.
    pub(super) fn place(
        &self,
        now: MonoTime,
        told: MonoTime,
        last_sent: Option<MonoTime>,
        rank: Option<Rank>,
    ) -> SendQuota {
        let place = rank.map_or(self.entries, |rank| rank.place);
        let first = told.after(QUIET_FOR).after(self.turns(place.saturating_sub(self.owners)));
        if now < first {
            return SendQuota::OthersUntil(first);
        }
        let round = self.round();
        let rounds = now.since(first).as_micros() / round.as_micros().max(1);
        let begin = first.after(round.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX)));
        let is_used = last_sent.is_some_and(|sent| sent >= begin);
        if now < begin.after(self.turn) && !is_used {
            return SendQuota::Free;
        }
        SendQuota::OthersUntil(begin.after(round))
    }

    /// The time until an entry's next turn: all others have had theirs by then.
    fn round(&self) -> Duration {
        self.turns(self.entries.saturating_sub(self.owners).saturating_add(1)).max(QUIET_FOR)
    }

    fn turns(&self, count: u32) -> Duration {
        self.turn.saturating_mul(count)
    }
}
