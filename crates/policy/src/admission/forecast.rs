//! Predicted start times, by simulating the ends of running requests and the queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::controller::AdmissionController;
use super::controller::MIN_RETRY_AFTER;
use super::queue::QueuedRequest;
use super::running::Running;

impl<Id: Clone + Eq + Hash> AdmissionController<Id> {
    /// Whether inserting a request at `position` would make a queued one miss its deadline.
    pub(super) fn would_delay_queued(
        &self,
        now: MonoTime,
        queued: &QueuedRequest<Id>,
        position: usize,
    ) -> bool {
        if position >= self.queue.len() {
            return false;
        }
        let mut free_at = self.slot_free_times(now);
        let mut take = |queued: &QueuedRequest<Id>| {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + queued.service));
            free
        };
        let before = self.queue.iter().take(position);
        before.for_each(|other| {
            take(other);
        });
        take(queued);
        let mut after = self.queue.iter().skip(position);
        after.any(|other| now.after(take(other)) > other.latest_start())
    }

    /// The predicted wait at a position of the queue. Running requests free their slots as
    /// they end; the requests ahead take them in order, and so do `reserved` reservations,
    /// each of mean service time.
    pub(super) fn estimate_wait(
        &self,
        now: MonoTime,
        position: usize,
        reserved: usize,
    ) -> Duration {
        let free = self.concurrency().saturating_sub(self.running.len());
        if position + reserved < free {
            return Duration::ZERO;
        }
        let mut free_at = self.slot_free_times(now);
        let mean = self.estimator.mean_service(self.concurrency());
        let reserved = std::iter::repeat_n(mean, reserved);
        let ahead = self.queue.iter().take(position).map(|queued| queued.service);
        for service in ahead.chain(reserved) {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + service));
        }
        let Reverse(free) = free_at.pop().unwrap_or_default();
        free
    }

    /// The time after which each slot is free.
    fn slot_free_times(&self, now: MonoTime) -> BinaryHeap<Reverse<Duration>> {
        let batch = self.concurrency();
        let running = self.running.values().map(|r| Reverse(self.time_left(now, r, batch)));
        let mut free_at: BinaryHeap<_> = running.collect();
        for _ in self.running.len()..batch {
            free_at.push(Reverse(Duration::ZERO));
        }
        for _ in batch..self.running.len() {
            free_at.pop();
        }
        free_at
    }

    fn time_left(&self, now: MonoTime, running: &Running, batch: usize) -> Duration {
        if running.bound_tokens == 0 {
            let service = self.estimator.service(0, 0, batch);
            return service.saturating_sub(now.since(running.started));
        }
        let step = self.estimator.steps().step(batch);
        if running.last_token.is_none() {
            // The response may arrive in one piece, so only elapsed time shows the progress.
            let service =
                self.estimator.service(running.uncached_tokens, running.expected_tokens, batch);
            return service.saturating_sub(now.since(running.started)).max(step);
        }
        let left = self.estimator.tokens_left(running.bound_tokens, running.generated_tokens);
        step * u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// The predicted time until all queued requests have started.
    pub(super) fn drain_time(&self, now: MonoTime) -> Duration {
        self.estimate_wait(now, self.queue.len(), 0).max(MIN_RETRY_AFTER)
    }
}
