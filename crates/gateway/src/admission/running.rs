//! A request that takes a place at an upstream.

use std::sync::Arc;

use stallhoist_coordination::ProcessClock;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;

use super::Admission;

/// A request that takes a place at an upstream until this is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    admission: Arc<Admission>,
    clock: ProcessClock,
    service: ServiceName,
    is_stream: bool,
    started: MonoTime,
    has_run: bool,
}

impl RunningRequest {
    pub(crate) fn new(
        admission: Arc<Admission>,
        clock: ProcessClock,
        service: ServiceName,
        is_stream: bool,
    ) -> Self {
        let started = clock.now();
        Self { admission, clock, service, is_stream, started, has_run: false }
    }

    /// Notes that the upstream runs it. One that the upstream rejected frees no place.
    pub(crate) fn set_has_run(&mut self) {
        self.has_run = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let now = self.clock.now();
        let took = now.since(self.started);
        if self.has_run {
            self.admission.record_end(now, &self.service, took, self.is_stream);
        }
        self.admission.wake_firsts(now, &self.service);
    }
}
