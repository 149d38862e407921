//! The waiting work, in its order.

use stallhoist_core::MonoTime;

use super::QueueOrder;
use super::Work;

/// Waiting work with the time its first token is due.
#[derive(Debug, Clone)]
pub(crate) struct Waiting<Id> {
    pub(crate) work: Work<Id>,
    pub(crate) first_token_due: MonoTime,
    /// Predicted service time, in microseconds.
    pub(crate) service_us: u64,
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

    /// Takes out work whose first token is overdue.
    pub(crate) fn take_overdue(&mut self, now: MonoTime) -> Vec<Waiting<Id>> {
        let mut overdue = Vec::new();
        let mut at = 0;
        while at < self.waiting.len() {
            if self.waiting[at].first_token_due <= now {
                overdue.push(self.waiting.remove(at));
            } else {
                at += 1;
            }
        }
        overdue
    }

    fn rank(&self, now: MonoTime, waiting: &Waiting<Id>) -> u64 {
        match self.order {
            QueueOrder::Fifo => waiting.work.arrived.0,
            QueueOrder::EarliestDeadline => waiting.first_token_due.0,
            QueueOrder::UtilityDensity => {
                let left_us = waiting.first_token_due.since(now).as_micros() as u64;
                // The density is 1 / (service * time left): the largest goes first.
                waiting.service_us.max(1).saturating_mul(left_us.max(1))
            }
        }
    }
}
