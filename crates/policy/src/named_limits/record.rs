//! The state kept for the rate limit of one upstream.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestRate;

use super::turn_schedule::TurnSchedule;
use crate::balance::UpstreamKey;
use crate::fleet_bound::Fleet;
use crate::fleet_bound::RankCache;
use crate::fleet_bound::SendQuota;
use crate::fleet_bound::SentTimes;

/// The span over which requests are counted. Longer than the four seconds over which upstreams count,
/// because network delay may bring requests closer together on arrival.
const WINDOW: Duration = Duration::from_millis(4_400);

/// The window for the smallest limits and for a limit of zero, so that no upstream is out of use for good.
const MAX_WINDOW: Duration = Duration::from_secs(20);

/// How long a change is sent to peers; all of them have received it by then.
const PUBLISH_FOR: Duration = Duration::from_secs(3);

/// An update from a peer that repeats the known limit is applied only if it is newer by this much:
/// otherwise two gateways would send it back and forth forever.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// An update on an upstream's rate limit, exchanged between gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitUpdate {
    /// The limit; none when it no longer applies.
    pub limit: Option<RequestRate>,
    /// Time since the state was observed.
    pub age: Duration,
}

/// The state kept for the rate limit of one upstream.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// None when no limit applies. The record is kept, as requests sent before count under the next limit.
    limit: Option<RequestRate>,
    as_of: MonoTime,
    /// When this gateway last updated the state.
    updated: MonoTime,
    /// When a peer last confirmed the limit, or a response first reported it.
    confirmed: MonoTime,
    sent: SentTimes,
    last_sent: Option<MonoTime>,
    rank: RankCache,
}

impl Record {
    /// Stores the limit that a response reports and returns whether it differs. A response that may be
    /// older than the known state, as its request was sent before that, must not raise the limit.
    pub(super) fn record_limit(
        &mut self,
        now: MonoTime,
        sent: MonoTime,
        reported: RequestRate,
    ) -> bool {
        let is_raised = self.limit.is_some_and(|known| reported > known);
        if is_raised && sent < self.as_of {
            return false;
        }
        self.update(now, now, Some(reported))
    }

    /// Drops the limit on a response without one, unless that response may be older than the known state.
    pub(super) fn record_no_limit(&mut self, now: MonoTime, sent: MonoTime) -> bool {
        sent >= self.as_of && self.update(now, sent, None)
    }

    pub(super) fn apply_peer_update(&mut self, now: MonoTime, update: LimitUpdate) -> bool {
        let as_of = now.before(update.age);
        let is_newer = if update.limit == self.limit {
            as_of > self.as_of.after(MIN_REFRESH_INTERVAL)
        } else {
            as_of > self.as_of
        };
        if is_newer {
            self.confirmed = as_of;
        }
        is_newer && self.update(now, as_of, update.limit)
    }

    fn update(&mut self, now: MonoTime, as_of: MonoTime, limit: Option<RequestRate>) -> bool {
        let has_changed = self.limit != limit;
        if has_changed {
            self.confirmed = now;
        }
        self.limit = limit;
        self.as_of = as_of;
        self.updated = now;
        has_changed
    }

    /// A record for an upstream whose limit is known from a peer only.
    pub(super) fn from_peer_update(now: MonoTime, update: LimitUpdate) -> Self {
        let as_of = now.before(update.age);
        Self { limit: update.limit, as_of, updated: now, confirmed: as_of, ..Self::default() }
    }

    /// Whether the state was updated recently enough to be sent to peers.
    pub(super) fn is_recent(&self, now: MonoTime) -> bool {
        now.since(self.updated) < PUBLISH_FOR
    }

    pub(super) fn peer_update(&self, now: MonoTime) -> LimitUpdate {
        LimitUpdate { limit: self.limit, age: now.since(self.as_of) }
    }

    pub(super) fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    pub(super) fn as_of(&self) -> MonoTime {
        self.as_of
    }

    pub(super) fn record_sent(&mut self, now: MonoTime) {
        let window = self.limit.map_or(MAX_WINDOW, |limit| allowance(limit).1);
        self.sent.record_sent(now, window);
        self.last_sent = Some(now);
    }

    pub(super) fn place(&self, now: MonoTime, upstream: UpstreamKey, fleet: &Fleet) -> SendQuota {
        let Some(limit) = self.limit else {
            return SendQuota::Unbounded;
        };
        let (total, window) = allowance(limit);
        let rank = fleet.rank_for(now, upstream, &self.rank);
        let share = rank.map_or(0, |rank| rank.share(total, u32::MAX));
        match self.sent.next_at(now, share, window) {
            Some(at) if at <= now => SendQuota::Free,
            Some(at) => SendQuota::FreeAt(at),
            None => {
                let schedule = TurnSchedule::new(fleet.len(), total, window / total);
                schedule.place(now, self.confirmed, self.last_sent, rank)
            }
        }
    }
}

/// Number of requests that all gateways together may send, and the window for them: as many as the limit
/// allows, and at least one. The platform accepts 1.5 times the limit plus five requests; that margin is left
/// for gateways whose lists differ for a moment and for delayed requests.
fn allowance(limit: RequestRate) -> (u32, Duration) {
    let total = ((limit.per_s() * WINDOW.as_secs_f64()) as u32).max(1);
    let window = Duration::try_from_secs_f64(f64::from(total) / limit.per_s());
    (total, window.unwrap_or(MAX_WINDOW).clamp(WINDOW, MAX_WINDOW))
}
