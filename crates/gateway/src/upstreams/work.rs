//! Work in progress on an upstream.

use std::sync::Arc;

use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::PrefillWork;

use super::Upstreams;

/// Work in progress on an upstream. Counts as finished when it is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    pub(super) upstreams: Arc<Upstreams>,
    pub(super) start: UpstreamIncarnation,
    pub(super) prefill: PrefillWork,
}

impl WorkGuard {
    /// Notes that the first chunk of the response has arrived, so the prefill is done.
    pub(crate) fn prefill_finished(&mut self) {
        let work = std::mem::take(&mut self.prefill);
        self.upstreams.state.lock().load.prefill_finished(&self.start, work);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.upstreams.state.lock().load.request_ended(&self.start, self.prefill);
    }
}
