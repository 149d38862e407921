//! Reservations for refused callers: who comes back when told to is let in.
//!
//! Under lasting overload a retry time is true only if the place it speaks of is kept.
//! So refused work gets a place in a schedule beyond the queue, and newcomers count it
//! as if it waited already. Work that comes back is known by its key. Reservations whose
//! callers do not come back would waste places, so they count only by the part of
//! callers that has been seen to come back.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;

/// A caller may come so much too early.
const EARLY: Duration = Duration::from_millis(50);
/// And so much too late: the standard header counts whole seconds.
const LATE: Duration = Duration::from_millis(2_500);
/// Nobody is told to stay away for longer.
const HORIZON: Duration = Duration::from_secs(600);
/// The most reservations kept; beyond it callers are told the horizon.
const MAX_RESERVATIONS: usize = 10_000;
const SMOOTHING: f64 = 0.02;

/// The schedule of reserved places.
#[derive(Debug)]
pub(crate) struct Reservations {
    by_due: BTreeMap<(MonoTime, u64), ()>,
    due_by_key: HashMap<u64, MonoTime>,
    /// When the next place beyond all reserved ones is free.
    next_free: MonoTime,
    /// The part of reservations whose callers came back.
    return_rate: f64,
}

impl Default for Reservations {
    fn default() -> Self {
        Self {
            by_due: BTreeMap::new(),
            due_by_key: HashMap::new(),
            next_free: MonoTime::default(),
            return_rate: 1.0,
        }
    }
}

impl Reservations {
    /// Gives the time to come back: not before `earliest`, and a place's time, `spacing`,
    /// after the reservation before. Repeated refusals of one key keep their place.
    pub(crate) fn give(
        &mut self,
        now: MonoTime,
        key: u64,
        earliest: Duration,
        spacing: Duration,
    ) -> Duration {
        if let Some(due) = self.due_by_key.get(&key) {
            return due.since(now).max(EARLY);
        }
        let due = now.after(earliest).max(self.next_free);
        if due.since(now) > HORIZON || self.by_due.len() >= MAX_RESERVATIONS {
            return HORIZON;
        }
        self.next_free = due.after(spacing.mul_f64(self.return_rate));
        self.by_due.insert((due, key), ());
        self.due_by_key.insert(key, due);
        due.since(now)
    }

    /// Whether this key has a reservation that is due.
    pub(crate) fn is_due(&self, now: MonoTime, key: u64) -> bool {
        self.due_by_key.get(&key).is_some_and(|due| *due <= now.after(EARLY))
    }

    /// The reservation of this key is kept.
    pub(crate) fn keep(&mut self, key: u64) {
        if let Some(due) = self.due_by_key.remove(&key) {
            self.by_due.remove(&(due, key));
            self.return_rate += SMOOTHING * (1.0 - self.return_rate);
        }
    }

    /// How many places are reserved up to `until`, by the part that comes back.
    pub(crate) fn places_until(&self, until: MonoTime) -> usize {
        let count = self.by_due.range(..=(until, u64::MAX)).count();
        (count as f64 * self.return_rate).round() as usize
    }

    /// Forgets reservations whose callers did not come.
    pub(crate) fn forget_missed(&mut self, now: MonoTime) {
        while let Some((&(due, key), ())) = self.by_due.first_key_value() {
            if now.since(due) < LATE {
                return;
            }
            self.by_due.pop_first();
            self.due_by_key.remove(&key);
            self.return_rate -= SMOOTHING * self.return_rate;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_due.len()
    }
}
