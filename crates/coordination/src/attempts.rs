//! What a sidecar knows of attempts: which it has seen, and which are barred.
//!
//! This is what makes "not run" true. An attempt is seen at most once; one that was
//! asked about before it came is barred and will never run here. Entries are kept
//! longer than any deadline, so that a late message finds its tombstone.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use stallhoist_core::MonoTime;

/// What a sidecar knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFate {
    /// Never seen, and barred from now on.
    Barred,
    /// Waiting or running.
    Held,
    /// Started and ended.
    Finished,
    /// Refused before it started.
    NotRun,
}

/// The answer to a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// It is new, and held from now on.
    New,
    /// It was barred before it came: it must not run.
    Barred,
    /// It was seen before: it must not run again.
    Seen,
}

/// Which attempts a sidecar has seen or barred.
#[derive(Debug)]
pub struct AttemptRegistry<Id> {
    fates: HashMap<Id, AttemptFate>,
    by_age: VecDeque<(MonoTime, Id)>,
    keep: Duration,
}

impl<Id: Copy + Eq + Hash> AttemptRegistry<Id> {
    /// A registry that remembers each attempt for `keep`, which must exceed the
    /// longest time between an attempt's dispatch and the last message about it.
    pub fn new(keep: Duration) -> Self {
        Self { fates: HashMap::new(), by_age: VecDeque::new(), keep }
    }

    /// Registers an attempt that came to be run.
    pub fn register(&mut self, now: MonoTime, id: Id) -> RegisterOutcome {
        self.forget_old(now);
        match self.fates.get(&id) {
            Some(AttemptFate::Barred) => RegisterOutcome::Barred,
            Some(_) => RegisterOutcome::Seen,
            None => {
                self.remember(now, id, AttemptFate::Held);
                RegisterOutcome::New
            }
        }
    }

    /// Says what is known of an attempt, and bars it if nothing is.
    pub fn attest(&mut self, now: MonoTime, id: Id) -> AttemptFate {
        self.forget_old(now);
        match self.fates.get(&id) {
            Some(fate) => *fate,
            None => {
                self.remember(now, id, AttemptFate::Barred);
                AttemptFate::Barred
            }
        }
    }

    /// A held attempt has ended.
    pub fn end(&mut self, id: &Id, fate: AttemptFate) {
        if let Some(held) = self.fates.get_mut(id) {
            *held = fate;
        }
    }

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    fn remember(&mut self, now: MonoTime, id: Id, fate: AttemptFate) {
        self.fates.insert(id, fate);
        self.by_age.push_back((now, id));
    }

    fn forget_old(&mut self, now: MonoTime) {
        while let Some((since, id)) = self.by_age.front().copied() {
            if now.since(since) < self.keep {
                return;
            }
            self.by_age.pop_front();
            // What still runs is remembered for another round.
            if self.fates.get(&id) == Some(&AttemptFate::Held) {
                self.by_age.push_back((now, id));
            } else {
                self.fates.remove(&id);
            }
        }
    }
}
