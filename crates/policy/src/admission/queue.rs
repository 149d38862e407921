//! The queue of admitted requests that wait for a slot.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::AdmissionRequest;
use super::QueueOrder;

/// A queued request with the deadline of its first token.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest<Id> {
    pub(crate) request: AdmissionRequest<Id>,
    pub(crate) first_token_due: MonoTime,
    /// Whether it has a reservation; such requests go before all others.
    pub(crate) has_reservation: bool,
    /// The wait that was predicted on arrival.
    pub(crate) predicted_wait: Duration,
    /// Predicted time from start to first token.
    pub(crate) time_to_first_token: Duration,
    /// Predicted time from start to end.
    pub(crate) service: Duration,
}

impl<Id> QueuedRequest<Id> {
    /// The latest start that meets the deadline of the first token.
    pub(crate) fn latest_start(&self) -> MonoTime {
        MonoTime(self.first_token_due.0.saturating_sub(self.time_to_first_token.as_micros() as u64))
    }
}

/// Queued requests, the next to start first.
#[derive(Debug)]
pub(crate) struct Queue<Id> {
    order: QueueOrder,
    queued: Vec<QueuedRequest<Id>>,
}

impl<Id: PartialEq> Queue<Id> {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self { order, queued: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest<Id>> {
        self.queued.iter()
    }

    /// The position a request would take: how many queued requests would start before it.
    pub(crate) fn position(&self, now: MonoTime, candidate: &QueuedRequest<Id>) -> usize {
        let goes_before =
            |other: &QueuedRequest<Id>| self.rank(now, other) <= self.rank(now, candidate);
        self.queued.iter().take_while(|other| goes_before(other)).count()
    }

    pub(crate) fn insert(&mut self, now: MonoTime, queued: QueuedRequest<Id>) {
        let at = self.position(now, &queued);
        self.queued.insert(at, queued);
    }

    pub(crate) fn pop(&mut self, now: MonoTime) -> Option<QueuedRequest<Id>> {
        if self.queued.is_empty() {
            return None;
        }
        if self.order == QueueOrder::UtilityDensity {
            // Urgency changes with time, so the queue is sorted again.
            let mut ranked = std::mem::take(&mut self.queued);
            ranked.sort_by_key(|queued| self.rank(now, queued));
            self.queued = ranked;
        }
        Some(self.queued.remove(0))
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<QueuedRequest<Id>> {
        let at = self.queued.iter().position(|queued| queued.request.id == *id)?;
        Some(self.queued.remove(at))
    }

    /// Removes and returns requests that can no longer meet the deadline of their first token.
    pub(crate) fn take_overdue(&mut self, now: MonoTime) -> Vec<QueuedRequest<Id>> {
        let mut overdue = Vec::new();
        let mut at = 0;
        while at < self.queued.len() {
            if self.queued[at].latest_start() < now {
                overdue.push(self.queued.remove(at));
            } else {
                at += 1;
            }
        }
        overdue
    }

    fn rank(&self, now: MonoTime, queued: &QueuedRequest<Id>) -> (bool, u64) {
        (!queued.has_reservation, self.rank_in_order(now, queued))
    }

    fn rank_in_order(&self, now: MonoTime, queued: &QueuedRequest<Id>) -> u64 {
        match self.order {
            QueueOrder::Fifo => queued.request.arrived.0,
            QueueOrder::EarliestDeadline => queued.first_token_due.0,
            QueueOrder::UtilityDensity => {
                let left_us = queued.first_token_due.since(now).as_micros() as u64;
                // The density is 1 / (service * time left); the largest goes first.
                let service_us = queued.service.as_micros() as u64;
                service_us.max(1).saturating_mul(left_us.max(1))
            }
        }
    }
}
