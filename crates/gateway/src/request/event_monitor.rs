//! Learns from the events of a stream how fast its model and its upstream are.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_policy::balance::EventIntervals;
use stallhoist_policy::balance::EventMeter;
use stallhoist_policy::balance::EventRead;

use super::token_interval::MonitoredStream;
use crate::state::GatewayState;

/// Learns from the events of a stream how fast its model and its upstream are.
#[derive(Debug)]
pub(super) struct EventMonitor {
    state: Arc<GatewayState>,
    subject: MonitoredStream,
    meter: EventMeter,
    /// Id of the last event and the end of the read that completed it.
    last: Option<(u64, MonoTime)>,
}

impl EventMonitor {
    pub(super) fn new(state: Arc<GatewayState>, subject: MonitoredStream) -> Self {
        Self { state, subject, meter: EventMeter::default(), last: None }
    }

    /// Records a read that began at `began` and completed events up to `last_id`. Returns the number of events.
    pub(super) fn events_read(&mut self, began: MonoTime, last_id: u64) -> u64 {
        let now = self.state.now();
        let incarnation = &self.subject.incarnation;
        let in_progress = self.state.upstreams.in_progress(now, incarnation);
        let before = self.last.replace((last_id, now));
        let not_read = before.map_or(Duration::ZERO, |(_, at)| began.since(at));
        let read = EventRead {
            last_id,
            took: now.since(began),
            not_read,
            others: in_progress.saturating_sub(1),
        };
        let intervals = self.meter.record(read);
        self.learn(now, intervals);
        before.map_or(1, |(id, _)| last_id.saturating_sub(id))
    }

    /// Learns from the last events of a stream that has ended.
    pub(super) fn stream_ended(&mut self) {
        let intervals = self.meter.ended();
        self.learn(self.state.now(), intervals);
    }

    fn learn(&self, now: MonoTime, intervals: Option<EventIntervals>) {
        let MonitoredStream { service, model, incarnation, .. } = &self.subject;
        if let (Some(intervals), Some(model)) = (intervals, model) {
            self.state.upstreams.events_arrived(now, service, model, incarnation, intervals);
        }
    }
}
