//! What is known of one upstream that may be cold.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::bound::ColdService;
use crate::fleet_bound::RankCache;
use crate::fleet_bound::SentTimes;

/// Requests count together that were sent within this time. Longer than the second of the bound,
/// as one may take longer on its way than the next.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);

/// The longest that an upstream is believed to be cold, whatever it says.
const MAX_COLD: Duration = Duration::from_secs(60);

/// What an upstream says of how much longer it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportedCold {
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
    told: ReportedCold,
    /// When the operators last took its availability zone back.
    back_in_use: Option<MonoTime>,
    /// When requests were sent to it, of the last [`WINDOW`].
    pub(super) sent: SentTimes,
    /// The entry's rank.
    pub(super) rank: RankCache,
}

impl Record {
    /// One that has said that it is warm.
    pub(super) fn warm() -> Self {
        Self { told: ReportedCold::For(Duration::ZERO), ..Self::default() }
    }

    pub(super) fn record_report(&mut self, now: MonoTime, told: ReportedCold) {
        self.since = now;
        self.told = told;
        self.back_in_use = None;
    }

    pub(super) fn mark_back_in_use(&mut self, now: MonoTime) {
        self.back_in_use = Some(now);
    }

    /// What was said last.
    pub(super) fn last_told(&self) -> ReportedCold {
        self.told
    }

    /// Until when it is taken to be cold.
    pub(super) fn until(&self, service: &ColdService) -> MonoTime {
        let told = match self.told {
            ReportedCold::Unsaid | ReportedCold::Unreadable => service.after_start,
            ReportedCold::For(told) => told,
        };
        let told = self.since.after(told.min(MAX_COLD));
        let back = self.back_in_use.map(|back| back.after(service.after_start.min(MAX_COLD)));
        back.map_or(told, |back| back.max(told))
    }

    /// A request is sent.
    pub(super) fn record_sent(&mut self, now: MonoTime) {
        self.sent.record_sent(now, WINDOW);
    }
}
