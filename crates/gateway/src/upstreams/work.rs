//! Work in progress on an upstream.

use std::sync::Arc;

use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::PrefillWork;

use super::Upstreams;

/// Work in progress on an upstream; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    pub(super) upstreams: Arc<Upstreams>,
    pub(super) start: UpstreamIncarnation,
    pub(super) unread: PrefillWork,
}

impl WorkGuard {
    /// The first part of the answer came: the prompt has been read.
    pub(crate) fn prefill_finished(&mut self) {
        let work = std::mem::take(&mut self.unread);
        self.upstreams.known.lock().load.prefill_finished(&self.start, work);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.upstreams.known.lock().load.request_ended(&self.start, self.unread);
    }
}
