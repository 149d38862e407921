//! The registry of attempts at a sidecar, which makes "not run" provable.
//!
//! An attempt is accepted at most once. One whose fate is queried before it arrives is barred
//! and never runs here. Records are kept longer than any deadline, so that a late message
//! still finds the record of its attempt.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;

/// The fate of an attempt at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFate {
    /// Never received, and barred from now on.
    Barred,
    /// Queued or running.
    Held,
    /// Started and ended.
    Finished,
    /// Rejected before it started.
    NotRun,
}

/// The outcome of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The attempt is new and is held from now on.
    New,
    /// The attempt was barred before it arrived and must not run.
    Barred,
    /// The attempt was registered before and must not run again.
    Seen,
}

/// The attempts that a sidecar has received or barred.
#[derive(Debug)]
pub struct AttemptRegistry<Id> {
    fates: HashMap<Id, AttemptFate>,
    by_age: VecDeque<(MonoTime, Id)>,
    retention: Duration,
}

impl<Id: Copy + Eq + Hash> AttemptRegistry<Id> {
    /// Creates a registry that keeps the record of each attempt for `retention`, which must exceed
    /// the longest time between the dispatch of an attempt and the last message about it.
    pub fn new(retention: Duration) -> Self {
        Self { fates: HashMap::new(), by_age: VecDeque::new(), retention }
    }

    /// Registers a dispatched attempt.
    pub fn register(&mut self, now: MonoTime, id: Id) -> RegisterOutcome {
        self.remove_expired(now);
        match self.fates.get(&id) {
            Some(AttemptFate::Barred) => RegisterOutcome::Barred,
            Some(_) => RegisterOutcome::Seen,
            None => {
                self.record(now, id, AttemptFate::Held);
                RegisterOutcome::New
            }
        }
    }

    /// Returns the fate of an attempt, and bars an unknown one.
    pub fn attest(&mut self, now: MonoTime, id: Id) -> AttemptFate {
        self.remove_expired(now);
        match self.fates.get(&id) {
            Some(fate) => *fate,
            None => {
                self.record(now, id, AttemptFate::Barred);
                AttemptFate::Barred
            }
        }
    }

    /// Sets the fate of an attempt that has ended.
    pub fn end(&mut self, id: &Id, fate: AttemptFate) {
        if let Some(held) = self.fates.get_mut(id) {
            *held = fate;
        }
    }

    /// The number of recorded attempts.
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether no attempt is recorded.
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    fn record(&mut self, now: MonoTime, id: Id, fate: AttemptFate) {
        self.fates.insert(id, fate);
        self.by_age.push_back((now, id));
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some((since, id)) = self.by_age.front().copied() {
            if now.since(since) < self.retention {
                return;
            }
            self.by_age.pop_front();
            // A held attempt is kept for another retention period.
            if self.fates.get(&id) == Some(&AttemptFate::Held) {
                self.by_age.push_back((now, id));
            } else {
                self.fates.remove(&id);
            }
        }
    }
}
