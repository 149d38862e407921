//! Requests that wait at this gateway until an upstream has room for them.
//!
//! Each service has a queue, `policy::overload::WaitingQueue`, which decides. This module holds the queues behind
//! one lock and wakes waiting requests: the first in the order when a request of this gateway ends, and all
//! when the gateway is stopped. Room that other gateways free is noticed when the first in the order asks
//! again.
//!
//! Lock order: the lock is never held together with another.

mod running;
mod ticket;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::overload::AttemptDecision;
use stallhoist_policy::overload::NewsValidity;
use stallhoist_policy::overload::ServiceRoom;
use stallhoist_policy::overload::WaitLimits;
use stallhoist_policy::overload::Waiter;
use stallhoist_policy::overload::WaiterId;
use stallhoist_policy::overload::WaitingQueue;
use stallhoist_settings::DecisionSettings;
use tokio::sync::Notify;

pub(crate) use running::RunningRequest;
pub(crate) use ticket::WaitTicket;

/// The queue of one service.
#[derive(Debug)]
struct ServiceQueue {
    queue: WaitingQueue,
    wakers: HashMap<WaiterId, Arc<Notify>>,
}

impl ServiceQueue {
    fn new(limits: WaitLimits) -> Self {
        Self { queue: WaitingQueue::new(limits), wakers: HashMap::new() }
    }

    fn wake_firsts(&self, now: MonoTime) {
        for id in self.queue.firsts(now) {
            if let Some(waker) = self.wakers.get(&id) {
                waker.notify_one();
            }
        }
    }
}

/// The queues of all services.
#[derive(Debug)]
pub(crate) struct Admission {
    is_enabled: bool,
    limits: WaitLimits,
    queues: Mutex<HashMap<ServiceName, ServiceQueue>>,
}

impl Admission {
    pub(crate) fn new(settings: &DecisionSettings) -> Self {
        let limits = WaitLimits {
            max_requests: settings.max_waiting_requests,
            max_bytes: settings.max_waiting_bytes,
            max_wait: Duration::from_millis(settings.max_wait_ms),
            ..WaitLimits::default()
        };
        Self { is_enabled: settings.waits_for_room, limits, queues: Mutex::default() }
    }

    /// Whether requests wait and are rejected here at all.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Decides on a request that has just arrived. One that is to wait gets a ticket.
    pub(crate) fn offer(
        self: &Arc<Self>,
        now: MonoTime,
        service: &ServiceName,
        waiter: Waiter,
        room: &ServiceRoom,
    ) -> (AttemptDecision, Option<WaitTicket>) {
        let mut queues = self.queues.lock();
        let queue =
            queues.entry(service.clone()).or_insert_with(|| ServiceQueue::new(self.limits.clone()));
        let (decision, id) = queue.queue.offer(now, waiter, room);
        let ticket = id.map(|id| {
            let waker = Arc::new(Notify::new());
            queue.wakers.insert(id, Arc::clone(&waker));
            WaitTicket::new(Arc::clone(self), service.clone(), id, now, waker)
        });
        if ticket.is_some() && room.has_room() {
            queue.wake_firsts(now);
        }
        (decision, ticket)
    }

    /// Decides on a waiting request. `deadline` replaces its time limit if that is later.
    pub(crate) fn ask(
        &self,
        now: MonoTime,
        ticket: &WaitTicket,
        deadline: MonoTime,
        room: &ServiceRoom,
    ) -> AttemptDecision {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(ticket.service());
        queue.map_or(AttemptDecision::Send, |q| q.queue.ask(now, ticket.id(), deadline, room))
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.lock().values().map(|queue| queue.queue.len()).sum()
    }

    /// Wakes all waiting requests.
    pub(crate) fn wake_all(&self) {
        let queues = self.queues.lock();
        queues.values().flat_map(|queue| queue.wakers.values()).for_each(|w| w.notify_one());
    }

    fn remove(&self, now: MonoTime, service: &ServiceName, id: WaiterId) {
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.queue.remove(id);
            queue.wakers.remove(&id);
            queue.wake_firsts(now);
        }
    }

    /// Which news of a service's upstreams still holds.
    pub(crate) fn news_validity(&self, service: &ServiceName) -> NewsValidity {
        let queues = self.queues.lock();
        let request_time = queues.get(service).map(|queue| queue.queue.request_time());
        NewsValidity::of(request_time.unwrap_or_default())
    }

    /// Records the end of a request that an upstream has run for `took`.
    fn record_end(&self, now: MonoTime, service: &ServiceName, took: Duration, is_stream: bool) {
        if !self.is_enabled {
            return;
        }
        let mut queues = self.queues.lock();
        let new = || ServiceQueue::new(self.limits.clone());
        queues.entry(service.clone()).or_insert_with(new).queue.record_end(now, took, is_stream);
    }

    fn wake_firsts(&self, now: MonoTime, service: &ServiceName) {
        if let Some(queue) = self.queues.lock().get(service) {
            queue.wake_firsts(now);
        }
    }
}
