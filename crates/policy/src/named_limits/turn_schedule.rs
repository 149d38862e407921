//! Turns in which gateways without a share of a limit check whether the limit still holds.

use std::time::Duration;

use stallhoist_core::MonoTime;

use crate::fleet_bound::Rank;
use crate::fleet_bound::SendQuota;

/// Gateways with a share learn the limit from responses and send updates to their peers. When no update has
/// arrived for this long, a gateway without a share sends a request of its own.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length of a turn in request intervals. With 3, the gateways without a share use at most a third of the
/// limit together, as those with a share may still use all of it while their updates are lost.
const INTERVALS_PER_TURN: u32 = 3;

/// Gives the gateways without a share of a limit one turn after the other: hundreds of them at once would
/// exceed the limit. An unused turn expires, as unused turns would accumulate.
#[derive(Debug)]
pub(super) struct TurnSchedule {
    /// Number of gateways with a share.
    owners: u32,
    /// Number of known gateways.
    entries: u32,
    /// Length of a turn.
    turn: Duration,
}

impl TurnSchedule {
    /// A schedule for `entries` gateways, of which `owners` have a share and together use the limit in full
    /// with one request per `interval`.
    pub(super) fn new(entries: u32, owners: u32, interval: Duration) -> Self {
        Self { owners, entries, turn: interval * INTERVALS_PER_TURN }
    }

    /// The quota of a gateway without a share, by its rank; one that is not listed comes last. `confirmed`
    /// is when a peer last confirmed the limit or a response first reported it; `last_sent` is when this
    /// gateway sent its last request, if any.
    pub(super) fn place(
        &self,
        now: MonoTime,
        confirmed: MonoTime,
        last_sent: Option<MonoTime>,
        rank: Option<Rank>,
    ) -> SendQuota {
        let place = rank.map_or(self.entries, |rank| rank.place);
        let first =
            confirmed.after(UPDATE_TIMEOUT).after(self.turns(place.saturating_sub(self.owners)));
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

    /// The time from one turn of a gateway to its next: all others have had theirs by then.
    fn round(&self) -> Duration {
        self.turns(self.entries.saturating_sub(self.owners).saturating_add(1)).max(UPDATE_TIMEOUT)
    }

    fn turns(&self, count: u32) -> Duration {
        self.turn.saturating_mul(count)
    }
}
