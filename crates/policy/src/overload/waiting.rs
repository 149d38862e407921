//! The requests of one service that wait at a gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::AttemptDecision;
use super::EnginePrice;
use super::RejectReason;
use super::Reservations;
use super::ServiceRoom;
use super::Waiter;
use super::WaiterId;
use super::end_rate::EndRate;

/// Interval at which the first in the order asks again: news of room elsewhere comes without notice.
const FIRST_ASKS_EVERY: Duration = Duration::from_millis(25);

/// Interval at which the others ask whether their time limit can still be met.
const OTHERS_ASK_EVERY: Duration = Duration::from_millis(250);

/// An expected wait counts as too long only beyond this multiple of the time left, as the estimates can be
/// wrong by that much.
const ERROR_FACTOR: f64 = 2.0;

/// Weight of the latest request in the mean durations.
const REQUEST_TIME_WEIGHT: f64 = 0.1;

/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits on what waits at one gateway for one service.
#[derive(Debug, Clone)]
pub struct WaitLimits {
    /// Number of requests.
    pub max_requests: usize,
    /// Memory of all of them, in bytes.
    pub max_bytes: usize,
    /// Time that one request waits before it is sent all the same.
    pub max_wait: Duration,
    /// Longest `Retry-After`.
    pub max_retry_after: Duration,
}

impl Default for WaitLimits {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_bytes: 4 << 20,
            max_wait: Duration::from_millis(10_000),
            max_retry_after: Duration::from_millis(5_000),
        }
    }
}

#[derive(Debug)]
struct Entry {
    waiter: Waiter,
    since: MonoTime,
}

/// The requests of one service that wait at a gateway.
///
/// Invariant: no request waits or is rejected while an upstream that it may use has room, unless one with an
/// earlier turn takes that room.
#[derive(Debug)]
pub struct WaitingQueue {
    limits: WaitLimits,
    waiting: BTreeMap<WaiterId, Entry>,
    size_bytes: usize,
    next_id: u64,
    ends: EndRate,
    /// Mean duration of requests, and of calls without a stream.
    request_time: Duration,
    call_time: Duration,
    /// When a late request was last sent, or when one began to wait with none before it.
    late_served_at: MonoTime,
    reservations: Reservations,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new(limits: WaitLimits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            size_bytes: 0,
            next_id: 0,
            ends: EndRate::default(),
            request_time: Duration::ZERO,
            call_time: Duration::ZERO,
            late_served_at: MonoTime::default(),
            reservations: Reservations::default(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides on a request that has just arrived. If it is to wait, it is queued and gets an id.
    pub fn offer(
        &mut self,
        now: MonoTime,
        mut waiter: Waiter,
        room: &ServiceRoom,
    ) -> (AttemptDecision, Option<WaiterId>) {
        waiter.first_chunk = waiter.first_chunk.max(self.call_time);
        self.reservations.expire_missed(now);
        let id = WaiterId(self.next_id);
        if room.has_room() && !self.is_any_before(now, &waiter, id) {
            self.reservations.redeem(waiter.key);
            return (AttemptDecision::Send, None);
        }
        if let Some(reason) = self.reject_reason(now, &waiter, id, room) {
            return (self.reject(now, waiter.key, reason), None);
        }
        if self.is_full(&waiter) {
            let decision = if room.is_half_taken() {
                self.reject(now, waiter.key, RejectReason::QueueFull)
            } else {
                AttemptDecision::Send
            };
            return (decision, None);
        }
        self.reservations.redeem(waiter.key);
        if waiter.is_late(now) && !self.is_any_late(now) {
            self.late_served_at = now;
        }
        self.next_id += 1;
        self.size_bytes += waiter.size_bytes;
        let asks_at = self.asks_at(now, &waiter, id);
        self.waiting.insert(id, Entry { waiter, since: now });
        (AttemptDecision::WaitUntil(asks_at), Some(id))
    }

    /// Decides on a waiting request. `deadline` replaces its time limit if that is later.
    pub fn ask(
        &mut self,
        now: MonoTime,
        id: WaiterId,
        deadline: MonoTime,
        room: &ServiceRoom,
    ) -> AttemptDecision {
        let Some(entry) = self.waiting.get_mut(&id) else {
            return AttemptDecision::Send;
        };
        entry.waiter.deadline = entry.waiter.deadline.min(deadline);
        let waiter = entry.waiter.clone();
        let is_overlong = now.since(entry.since) >= self.limits.max_wait;
        let is_first = !self.is_any_before(now, &waiter, id);
        if is_overlong || (room.has_room() && is_first) {
            if waiter.is_late(now) {
                self.late_served_at = now;
            }
            return AttemptDecision::Send;
        }
        match self.reject_reason(now, &waiter, id, room) {
            Some(reason) => self.reject(now, waiter.key, reason),
            None => AttemptDecision::WaitUntil(self.asks_at(now, &waiter, id)),
        }
    }

    /// Removes a request that was sent or rejected, or whose caller has left.
    pub fn remove(&mut self, id: WaiterId) {
        if let Some(entry) = self.waiting.remove(&id) {
            self.size_bytes -= entry.waiter.size_bytes;
        }
    }

    /// Records the end of a request that an upstream has run for `took`.
    pub fn record_end(&mut self, now: MonoTime, took: Duration, is_stream: bool) {
        self.ends.record(now);
        self.request_time = mean_with(self.request_time, took);
        if !is_stream {
            self.call_time = mean_with(self.call_time, took);
        }
    }

    /// Mean duration of the requests that have ended; zero before the first.
    pub fn request_time(&self) -> Duration {
        self.request_time
    }

    /// The next request of each pool.
    pub fn firsts(&self, now: MonoTime) -> Vec<WaiterId> {
        let mut first_by_pool = BTreeMap::new();
        for (id, entry) in &self.waiting {
            let rank = entry.waiter.rank(now, *id);
            let first = first_by_pool.entry(entry.waiter.pool).or_insert(rank);
            *first = rank.min(*first);
        }
        first_by_pool.into_values().map(|(.., id)| id).collect()
    }

    /// What engine time costs the requests that wait here and at `gateways` in all with as many: each millisecond
    /// on one of the upstreams delays those behind it.
    pub fn engine_price(&self, gateways: u32, room: &ServiceRoom) -> EnginePrice {
        if room.has_room() {
            return EnginePrice::FREE;
        }
        let waiting = self.waiting.len() as f64 * f64::from(gateways.max(1));
        EnginePrice::new(waiting / f64::from(room.upstreams().max(1)))
    }

    fn is_full(&self, waiter: &Waiter) -> bool {
        self.waiting.len() >= self.limits.max_requests
            || self.size_bytes.saturating_add(waiter.size_bytes) > self.limits.max_bytes
    }

    fn is_any_late(&self, now: MonoTime) -> bool {
        self.waiting.values().any(|entry| entry.waiter.is_late(now))
    }

    fn is_any_before(&self, now: MonoTime, waiter: &Waiter, id: WaiterId) -> bool {
        let rank = waiter.rank(now, id);
        let mut others = self.waiting.iter().filter(|(_, entry)| entry.waiter.pool == waiter.pool);
        others.any(|(other, entry)| entry.waiter.rank(now, *other) < rank)
    }

    /// Why a request surely cannot be served within its time limit, if so.
    fn reject_reason(
        &self,
        now: MonoTime,
        waiter: &Waiter,
        id: WaiterId,
        room: &ServiceRoom,
    ) -> Option<RejectReason> {
        let left = waiter.deadline.since(now);
        if left.is_zero() {
            return Some(RejectReason::NoTimeLeft);
        }
        let rate = self.ends.per_s(now)?;
        if room.has_room() || !room.is_half_taken() {
            return None;
        }
        let rank = waiter.rank(now, id);
        let ranks = self.waiting.iter().map(|(other, entry)| entry.waiter.rank(now, *other));
        let ahead = ranks.filter(|other| *other < rank).count();
        let wait_s = ahead as f64 / rate.max(f64::MIN_POSITIVE);
        let is_too_long = wait_s > left.as_secs_f64() * ERROR_FACTOR;
        // Requests that can be in time go before late ones; with a lasting overload none of those gets a turn.
        let is_starved = waiter.is_late(now)
            && self.is_any_late(now)
            && now.since(self.late_served_at) > left / 2;
        (is_too_long || is_starved).then_some(RejectReason::NoTurnInTime)
    }

    fn reject(&mut self, now: MonoTime, key: u64, reason: RejectReason) -> AttemptDecision {
        let rate = self.ends.per_s(now).unwrap_or(1.0).max(f64::MIN_POSITIVE);
        let max = self.limits.max_retry_after;
        let seconds = |s: f64| Duration::try_from_secs_f64(s).unwrap_or(max).min(max);
        let earliest = seconds(self.waiting.len() as f64 / rate).max(MIN_RETRY_AFTER);
        let retry_after = self.reservations.reserve_at(now, key, earliest, seconds(1.0 / rate));
        AttemptDecision::Reject { retry_after: retry_after.min(max), reason }
    }

    fn asks_at(&self, now: MonoTime, waiter: &Waiter, id: WaiterId) -> MonoTime {
        let is_first = !self.is_any_before(now, waiter, id);
        let pause = if is_first { FIRST_ASKS_EVERY } else { OTHERS_ASK_EVERY };
        now.after(pause).min(waiter.deadline)
    }
}

/// The mean with one more duration, the first of which sets it.
fn mean_with(mean: Duration, took: Duration) -> Duration {
    if mean.is_zero() {
        return took;
    }
    mean.mul_f64(1.0 - REQUEST_TIME_WEIGHT) + took.mul_f64(REQUEST_TIME_WEIGHT)
}
