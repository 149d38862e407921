//! Event queue of a discrete-event simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stallhoist_core::MonoTime;

/// A priority queue of events in virtual time. Events with equal times are returned in insertion order, which
/// keeps runs deterministic.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: std::collections::HashMap<u64, E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), events: Default::default(), added: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at virtual time `at`.
    pub fn add(&mut self, at: MonoTime, event: E) {
        self.heap.push(Reverse((at, self.added)));
        self.events.insert(self.added, event);
        self.added += 1;
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(MonoTime, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
