//! Counts requests in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::GatewayState;

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<GatewayState>);

impl InProgressGuard {
    pub(crate) fn count(state: &Arc<GatewayState>) -> Self {
        state.in_progress.fetch_add(1, Ordering::SeqCst);
        state.metrics.in_progress.inc();
        Self(Arc::clone(state))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.in_progress.dec();
    }
}
