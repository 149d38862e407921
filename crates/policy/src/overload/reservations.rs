//! Reservations for rejected requests, so that a retry at the stated time is admitted.
//!
//! Under sustained overload a retry time is accurate only if capacity is reserved for it.
//! A rejected request therefore gets a slot in a schedule beyond the queue, which the
//! prediction for new requests counts as if it were queued. A retry is recognised by its
//! key. Reservations whose callers do not return would waste capacity, so they are
//! weighted by the observed return rate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;

/// How much too early a retry may arrive.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// How much too late a retry may arrive; the standard header counts whole seconds.
const LATE_TOLERANCE: Duration = Duration::from_millis(2_500);
/// The longest retry time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// The maximum number of reservations; beyond it the retry time is [`MAX_RETRY_AFTER`].
const MAX_RESERVATIONS: usize = 10_000;
const SMOOTHING: f64 = 0.02;

/// The schedule of reserved slots.
#[derive(Debug)]
pub(crate) struct Reservations {
    by_due: BTreeMap<(MonoTime, u64), ()>,
    due_by_key: HashMap<u64, MonoTime>,
    /// The earliest time after all reservations.
    next_free: MonoTime,
    /// The fraction of reservations that were redeemed.
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
    /// Reserves a slot and returns the retry time: at least `earliest`, and at least `spacing`
    /// after the previous reservation. Another rejection of the same key keeps its reservation.
    pub(crate) fn reserve_at(
        &mut self,
        now: MonoTime,
        key: u64,
        earliest: Duration,
        spacing: Duration,
    ) -> Duration {
        if let Some(due) = self.due_by_key.get(&key) {
            return due.since(now).max(EARLY_TOLERANCE);
        }
        let due = now.after(earliest).max(self.next_free);
        if due.since(now) > MAX_RETRY_AFTER || self.by_due.len() >= MAX_RESERVATIONS {
            return MAX_RETRY_AFTER;
        }
        self.next_free = due.after(spacing.mul_f64(self.return_rate));
        self.by_due.insert((due, key), ());
        self.due_by_key.insert(key, due);
        due.since(now)
    }

    /// Whether a reservation of this key is due.
    pub(crate) fn is_due(&self, now: MonoTime, key: u64) -> bool {
        self.due_by_key.get(&key).is_some_and(|due| *due <= now.after(EARLY_TOLERANCE))
    }

    /// Redeems the reservation of this key, if there is one.
    pub(crate) fn redeem(&mut self, key: u64) {
        if let Some(due) = self.due_by_key.remove(&key) {
            self.by_due.remove(&(due, key));
            self.return_rate += SMOOTHING * (1.0 - self.return_rate);
        }
    }

    /// The number of reservations up to `until`, weighted by the return rate.
    pub(crate) fn count_until(&self, until: MonoTime) -> usize {
        let count = self.by_due.range(..=(until, u64::MAX)).count();
        (count as f64 * self.return_rate).round() as usize
    }

    /// Removes reservations whose callers did not return in time.
    pub(crate) fn expire_missed(&mut self, now: MonoTime) {
        while let Some((&(due, key), ())) = self.by_due.first_key_value() {
            if now.since(due) < LATE_TOLERANCE {
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
