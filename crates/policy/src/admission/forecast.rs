//! When work would start: the running work's ends and the queue, played forward.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::controller::AdmissionController;
use super::controller::MIN_RETRY_AFTER;
use super::queue::Waiting;
use super::running::Running;

impl<Id: Clone + Eq + Hash> AdmissionController<Id> {
    /// Whether work that goes before others in the queue would make one of them late.
    pub(super) fn delays_another(
        &self,
        now: MonoTime,
        waiting: &Waiting<Id>,
        position: usize,
    ) -> bool {
        if position >= self.queue.len() {
            return false;
        }
        let mut free_at = self.places(now);
        let mut take = |waiting: &Waiting<Id>| {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + waiting.service));
            free
        };
        let before = self.queue.iter().take(position);
        before.for_each(|other| {
            take(other);
        });
        take(waiting);
        let mut after = self.queue.iter().skip(position);
        after.any(|other| now.after(take(other)) > other.latest_start())
    }

    /// How long work at a place in the queue waits for its start: running work frees
    /// its places as it ends, and what waits before takes them in order, and so do
    /// `reserved` places of mean length.
    pub(super) fn wait_at(&self, now: MonoTime, position: usize, reserved: usize) -> Duration {
        let free = self.concurrency().saturating_sub(self.running.len());
        if position + reserved < free {
            return Duration::ZERO;
        }
        let mut free_at = self.places(now);
        let mean = self.estimator.mean_service(self.concurrency());
        let reserved = std::iter::repeat_n(mean, reserved);
        let ahead = self.queue.iter().take(position).map(|waiting| waiting.service);
        for service in ahead.chain(reserved) {
            let Reverse(free) = free_at.pop().unwrap_or_default();
            free_at.push(Reverse(free + service));
        }
        let Reverse(free) = free_at.pop().unwrap_or_default();
        free
    }

    /// When each place is free.
    fn places(&self, now: MonoTime) -> BinaryHeap<Reverse<Duration>> {
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
            // It may come as one piece: only time tells how far it is.
            let service =
                self.estimator.service(running.uncached_tokens, running.expected_tokens, batch);
            return service.saturating_sub(now.since(running.started)).max(step);
        }
        let left = self.estimator.tokens_left(running.bound_tokens, running.made_tokens);
        step * u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// How long until all that waits now has started.
    pub(super) fn drain_time(&self, now: MonoTime) -> Duration {
        self.wait_at(now, self.queue.len(), 0).max(MIN_RETRY_AFTER)
    }
}
