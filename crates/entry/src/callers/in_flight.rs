//! The bound on requests in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::shared::Shared;

/// Counts as a request in progress for as long as it lives.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    /// A place, unless all are taken.
    pub(crate) fn take(shared: &Arc<Shared>) -> Option<Self> {
        let bound = shared.settings.callers.max_in_flight_requests;
        let one_more = |count| (count < bound).then_some(count + 1);
        let taken = shared.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_more);
        taken.ok()?;
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
