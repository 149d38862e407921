//! The state kept for one upstream that may be warming up.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::bound::ColdService;
use crate::fleet_bound::RankCache;
use crate::fleet_bound::SentTimes;

/// The span over which requests are counted. Longer than the one second of the bound, because network
/// delay may bring requests closer together on arrival.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);

/// Upper bound on a warm-up, whatever the upstream reports.
const MAX_WARM_UP: Duration = Duration::from_secs(60);

/// The remaining warm-up time that an upstream reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportedCold {
    /// Not reported: the service's default applies from the start of the upstream.
    #[default]
    Unsaid,
    /// A value that cannot be parsed; treated as not reported.
    Unreadable,
    /// The remaining time.
    For(Duration),
}

/// The state kept for one upstream that may be warming up.
#[derive(Debug, Default)]
pub(super) struct Record {
    since: MonoTime,
    reported: ReportedCold,
    /// When operators last restored its availability zone.
    back_in_use: Option<MonoTime>,
    /// Requests sent to it during the last [`WINDOW`].
    pub(super) sent: SentTimes,
    /// The rank of this gateway for the upstream.
    pub(super) rank: RankCache,
}

impl Record {
    /// The record of an upstream that has reported the end of its warm-up.
    pub(super) fn warm() -> Self {
        Self { reported: ReportedCold::For(Duration::ZERO), ..Self::default() }
    }

    pub(super) fn record_report(&mut self, now: MonoTime, reported: ReportedCold) {
        self.since = now;
        self.reported = reported;
        self.back_in_use = None;
    }

    pub(super) fn mark_back_in_use(&mut self, now: MonoTime) {
        self.back_in_use = Some(now);
    }

    pub(super) fn last_reported(&self) -> ReportedCold {
        self.reported
    }

    /// The end of the warm-up: the later one of the reported time and, after its availability zone was
    /// restored, the service's default.
    pub(super) fn until(&self, service: &ColdService) -> MonoTime {
        let reported = match self.reported {
            ReportedCold::Unsaid | ReportedCold::Unreadable => service.after_start,
            ReportedCold::For(reported) => reported,
        };
        let reported = self.since.after(reported.min(MAX_WARM_UP));
        let back = self.back_in_use.map(|back| back.after(service.after_start.min(MAX_WARM_UP)));
        back.map_or(reported, |back| back.max(reported))
    }

    pub(super) fn record_sent(&mut self, now: MonoTime) {
        self.sent.record_sent(now, WINDOW);
    }
}
