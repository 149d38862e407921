//! The waiting work, in its order.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::AdmissionRequest;
use super::QueueOrder;

/// Waiting work with the time its first token is due.
#[derive(Debug, Clone)]
pub(crate) struct Waiting<Id> {
    pub(crate) work: AdmissionRequest<Id>,
    pub(crate) first_token_due: MonoTime,
    /// Whether a place was kept for it: then it goes before all that have none.
    pub(crate) is_reserved: bool,
    /// The wait that was predicted when it came.
    pub(crate) predicted_wait: Duration,
    /// Predicted time from its start to its first token.
    pub(crate) own_first: Duration,
    /// Predicted time from its start to its end.
    pub(crate) service: Duration,
}

impl<Id> Waiting<Id> {
    /// When it must have started to have its first token in time.
    pub(crate) fn latest_start(&self) -> MonoTime {
        MonoTime(self.first_token_due.0.saturating_sub(self.own_first.as_micros() as u64))
    }
}

/// The waiting work, the next to start first.
#[derive(Debug)]
pub(crate) struct Queue<Id> {
    order: QueueOrder,
    waiting: Vec<Waiting<Id>>,
}

impl<Id: PartialEq> Queue<Id> {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self { order, waiting: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting<Id>> {
        self.waiting.iter()
    }

    /// Where work would stand: how much of what waits would start before it.
    pub(crate) fn position(&self, now: MonoTime, candidate: &Waiting<Id>) -> usize {
        let goes_before = |other: &Waiting<Id>| self.rank(now, other) <= self.rank(now, candidate);
        self.waiting.iter().take_while(|other| goes_before(other)).count()
    }

    pub(crate) fn insert(&mut self, now: MonoTime, waiting: Waiting<Id>) {
        let at = self.position(now, &waiting);
        self.waiting.insert(at, waiting);
    }

    pub(crate) fn pop(&mut self, now: MonoTime) -> Option<Waiting<Id>> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.order == QueueOrder::UtilityDensity {
            // Urgency changes with time, so the order is made anew.
            let mut ranked = std::mem::take(&mut self.waiting);
            ranked.sort_by_key(|waiting| self.rank(now, waiting));
            self.waiting = ranked;
        }
        Some(self.waiting.remove(0))
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<Waiting<Id>> {
        let at = self.waiting.iter().position(|waiting| waiting.work.id == *id)?;
        Some(self.waiting.remove(at))
    }

    /// Takes out work that can no longer have its first token in time.
    pub(crate) fn take_overdue(&mut self, now: MonoTime) -> Vec<Waiting<Id>> {
        let mut overdue = Vec::new();
        let mut at = 0;
        while at < self.waiting.len() {
            if self.waiting[at].latest_start() < now {
                overdue.push(self.waiting.remove(at));
            } else {
                at += 1;
            }
        }
        overdue
    }

    fn rank(&self, now: MonoTime, waiting: &Waiting<Id>) -> (bool, u64) {
        (!waiting.is_reserved, self.rank_in_order(now, waiting))
    }

    fn rank_in_order(&self, now: MonoTime, waiting: &Waiting<Id>) -> u64 {
        match self.order {
            QueueOrder::Fifo => waiting.work.arrived.0,
            QueueOrder::EarliestDeadline => waiting.first_token_due.0,
            QueueOrder::UtilityDensity => {
                let left_us = waiting.first_token_due.since(now).as_micros() as u64;
                // The density is 1 / (service * time left): the largest goes first.
                let service_us = waiting.service.as_micros() as u64;
                service_us.max(1).saturating_mul(left_us.max(1))
            }
        }
    }
}
