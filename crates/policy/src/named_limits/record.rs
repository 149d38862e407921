//! What is known of the limit of one upstream.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestRate;

use super::turns::Turns;
use crate::balance::UpstreamKey;
use crate::fleet_bound::Fleet;
use crate::fleet_bound::RankCache;
use crate::fleet_bound::SendQuota;
use crate::fleet_bound::SentTimes;

/// Requests count together that were sent within this time. Longer than the four seconds within which
/// upstreams count, as one request may take longer on its way than the next.
const WINDOW: Duration = Duration::from_millis(4_400);

/// The window of the smallest limits, and of a limit of nothing: no upstream is out for good.
const LONGEST_WINDOW: Duration = Duration::from_secs(20);

/// How long after it was learnt others are told: all have heard of it by then.
const TELL_FOR: Duration = Duration::from_secs(3);

/// What is told is news only if it is later by this, where it says what is known already: else two
/// entries would tell each other for ever.
const NEWS_AFTER: Duration = Duration::from_millis(500);

/// What entries tell each other of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitUpdate {
    /// The limit; none when it is over.
    pub limit: Option<RequestRate>,
    /// How long ago it was so.
    pub age: Duration,
}

/// What is known of the limit of one upstream.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// None when it is over: what was sent still counts if another one is named.
    limit: Option<RequestRate>,
    as_of: MonoTime,
    /// When this entry learnt it.
    learnt: MonoTime,
    /// When others told it last, or the first answer did.
    told: MonoTime,
    sent: SentTimes,
    last_sent: Option<MonoTime>,
    rank: RankCache,
}

impl Record {
    /// An answer names a limit. One that may be older than the last word must not raise it.
    pub(super) fn named(&mut self, now: MonoTime, sent: MonoTime, named: RequestRate) -> bool {
        let is_raised = self.limit.is_some_and(|known| named > known);
        if is_raised && sent < self.as_of {
            return false;
        }
        self.learn(now, now, Some(named))
    }

    /// An answer names none.
    pub(super) fn named_none(&mut self, now: MonoTime, sent: MonoTime) -> bool {
        sent >= self.as_of && self.learn(now, sent, None)
    }

    pub(super) fn apply_peer_update(&mut self, now: MonoTime, told: LimitUpdate) -> bool {
        let as_of = now.before(told.age);
        let is_news = if told.limit == self.limit {
            as_of > self.as_of.after(NEWS_AFTER)
        } else {
            as_of > self.as_of
        };
        if is_news {
            self.told = as_of;
        }
        is_news && self.learn(now, as_of, told.limit)
    }

    fn learn(&mut self, now: MonoTime, as_of: MonoTime, limit: Option<RequestRate>) -> bool {
        let is_another = self.limit != limit;
        if is_another {
            self.told = now;
        }
        self.limit = limit;
        self.as_of = as_of;
        self.learnt = now;
        is_another
    }

    /// One of which nothing was known before another entry told it.
    pub(super) fn first_told(now: MonoTime, told: LimitUpdate) -> Self {
        let as_of = now.before(told.age);
        Self { limit: told.limit, as_of, learnt: now, told: as_of, ..Self::default() }
    }

    /// Whether this entry has learnt it lately.
    pub(super) fn is_news(&self, now: MonoTime) -> bool {
        now.since(self.learnt) < TELL_FOR
    }

    pub(super) fn peer_updates(&self, now: MonoTime) -> LimitUpdate {
        LimitUpdate { limit: self.limit, age: now.since(self.as_of) }
    }

    pub(super) fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    pub(super) fn as_of(&self) -> MonoTime {
        self.as_of
    }

    pub(super) fn record_sent(&mut self, now: MonoTime) {
        let window = self.limit.map_or(LONGEST_WINDOW, |limit| allowance(limit).1);
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
                let turns = Turns::new(fleet.len(), total, window / total);
                turns.place(now, self.told, self.last_sent, rank)
            }
        }
    }
}

/// What all entries together may send in which time: what the upstream takes, and one request at
/// least. The platform lets through half as much again and five requests more; that is left for entries
/// whose lists differ for a moment, and for requests that are held up on their way.
fn allowance(limit: RequestRate) -> (u32, Duration) {
    let total = ((limit.per_s() * WINDOW.as_secs_f64()) as u32).max(1);
    let window = Duration::try_from_secs_f64(f64::from(total) / limit.per_s());
    (total, window.unwrap_or(LONGEST_WINDOW).clamp(WINDOW, LONGEST_WINDOW))
}
