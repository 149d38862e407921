//! What is known of one upstream that may be cold.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::bound::ColdService;
use super::bound::Rank;

/// Requests count together that were sent within this time. Longer than the second of the bound,
/// as one may take longer on its way than the next.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);

/// The longest that an upstream is believed to be cold, whatever it says.
const MAX_COLD: Duration = Duration::from_secs(60);

/// What an upstream says of how much longer it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ToldCold {
    /// Nothing: it is taken to be cold from its start on.
    #[default]
    Unsaid,
    /// Something that cannot be read, which says nothing.
    Unreadable,
    /// So long.
    For(Duration),
}

/// What is known of one upstream that may be cold.
#[derive(Debug, Default)]
pub(super) struct Record {
    since: MonoTime,
    told: ToldCold,
    /// When the operators last took its availability zone back.
    back_in_use: Option<MonoTime>,
    /// When requests were sent to it, of the last [`WINDOW`].
    sent: VecDeque<MonoTime>,
    /// The entry's rank, and the generation of the fleet that it holds for.
    rank: Cell<Option<(u64, Option<Rank>)>>,
}

impl Record {
    /// One that has said that it is warm.
    pub(super) fn warm() -> Self {
        Self { told: ToldCold::For(Duration::ZERO), ..Self::default() }
    }

    pub(super) fn told(&mut self, now: MonoTime, told: ToldCold) {
        self.since = now;
        self.told = told;
        self.back_in_use = None;
    }

    pub(super) fn is_back_in_use(&mut self, now: MonoTime) {
        self.back_in_use = Some(now);
    }

    /// What was said last.
    pub(super) fn last_told(&self) -> ToldCold {
        self.told
    }

    /// Until when it is taken to be cold.
    pub(super) fn until(&self, service: &ColdService) -> MonoTime {
        let told = match self.told {
            ToldCold::Unsaid | ToldCold::Unreadable => service.after_start,
            ToldCold::For(told) => told,
        };
        let told = self.since.after(told.min(MAX_COLD));
        let back = self.back_in_use.map(|back| back.after(service.after_start.min(MAX_COLD)));
        back.map_or(told, |back| back.max(told))
    }

    /// A request is sent.
    pub(super) fn sent(&mut self, now: MonoTime) {
        while self.sent.front().is_some_and(|first| now.since(*first) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// When the next request may be sent, if there may be so many in a second; none if there may
    /// be none at all.
    pub(super) fn next_at(&self, now: MonoTime, share_per_s: u32) -> Option<MonoTime> {
        let share = usize::try_from(share_per_s).unwrap_or(usize::MAX);
        if share == 0 {
            return None;
        }
        let Some(earlier) = self.sent.len().checked_sub(share) else {
            return Some(now);
        };
        self.sent.get(earlier).map(|sent| sent.after(WINDOW).max(now))
    }

    /// The rank that was worked out for a generation of the fleet, or is by `rank`.
    pub(super) fn rank(
        &self,
        generation: u64,
        rank: impl FnOnce() -> Option<Rank>,
    ) -> Option<Rank> {
        match self.rank.get() {
            Some((known, rank)) if known == generation => rank,
            _ => {
                let rank = rank();
                self.rank.set(Some((generation, rank)));
                rank
            }
        }
    }
}
