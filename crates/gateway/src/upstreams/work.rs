//! Work in progress on an upstream.

use std::sync::Arc;

use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::PrefillWork;

use super::Upstreams;
use crate::admission::RunningRequest;

/// Work in progress on an upstream. Counts as finished when it is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    pub(super) upstreams: Arc<Upstreams>,
    pub(super) start: UpstreamIncarnation,
    pub(super) prefill: PrefillWork,
    /// Engine time that the rest of the response is expected to take, in milliseconds.
    pub(super) generation_left_ms: f64,
    pub(super) generation_ms_per_event: f64,
    /// Wakes a waiting request once the work has been subtracted.
    pub(super) running: RunningRequest,
}

impl WorkGuard {
    /// Notes that the first chunk of the response has arrived, so the prefill is done.
    pub(crate) fn prefill_finished(&mut self) {
        self.running.set_has_run();
        let work = std::mem::take(&mut self.prefill);
        self.upstreams.state.lock().load.prefill_finished(&self.start, work);
    }

    /// Notes that `events` more events of the response have arrived.
    pub(crate) fn events_received(&mut self, events: u64) {
        let done_ms = (events as f64 * self.generation_ms_per_event).min(self.generation_left_ms);
        if done_ms > 0.0 {
            self.generation_left_ms -= done_ms;
            self.upstreams.state.lock().load.generation_done(&self.start, done_ms);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let load = &mut self.upstreams.state.lock().load;
        load.generation_done(&self.start, self.generation_left_ms);
        load.request_ended(&self.start, self.prefill);
    }
}
