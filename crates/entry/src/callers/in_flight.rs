//! The limit on requests in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::shared::Shared;

/// The slot of a request in progress. Dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Acquires a slot, or returns `None` if the limit of the settings is reached.
    pub(crate) fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        let limit = shared.settings.callers.max_in_flight_requests;
        let increment = |count| (count < limit).then_some(count + 1);
        let updated = shared.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment);
        updated.ok()?;
        shared.metrics.in_flight_requests.inc();
        Some(Self { shared: Arc::clone(shared) })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.shared.metrics.in_flight_requests.dec();
    }
}
