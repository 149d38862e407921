//! Measures the interval between the tokens of a stream, for the comparison of versions in a rollout.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::VersionName;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::Pace;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::StreamPace;

use crate::state::GatewayState;

/// The stream whose intervals are measured.
#[derive(Debug, Clone)]
pub(super) struct MonitoredStream {
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    pub(super) version: VersionName,
    pub(super) incarnation: UpstreamIncarnation,
}

/// Measures the intervals of a stream until they give its token interval, and reports that once.
#[derive(Debug)]
pub(super) struct TokenIntervalMonitor {
    state: Arc<GatewayState>,
    subject: MonitoredStream,
    /// None once the interval has been reported.
    pace: Option<StreamPace>,
    /// Requests in progress on the upstream when the interval began.
    in_progress: u32,
}

impl TokenIntervalMonitor {
    pub(super) fn new(state: Arc<GatewayState>, subject: MonitoredStream) -> Self {
        let in_progress = state.upstreams.in_progress(state.now(), &subject.incarnation);
        Self { state, subject, pace: Some(StreamPace::default()), in_progress }
    }

    /// How long the current interval may last until it has to be recorded; none once the result has been
    /// reported.
    pub(super) fn time_left(&self) -> Option<Duration> {
        self.pace.as_ref().map(StreamPace::time_left)
    }

    /// Records an interval that has ended, or that has lasted for `interval` so far.
    pub(super) fn record_interval(&mut self, interval: Duration) {
        let Some(pace) = &mut self.pace else {
            return;
        };
        let (now, incarnation) = (self.state.now(), &self.subject.incarnation);
        let before = self.in_progress;
        self.in_progress = self.state.upstreams.in_progress(now, incarnation);
        // The greater of both loads determines the length of the interval.
        let pace = pace.record_pause(interval, before.max(self.in_progress));
        self.report(pace);
    }

    /// Evaluates the intervals at the end of the stream.
    pub(super) fn stream_ended(&mut self) {
        let pace = self.pace.as_ref().and_then(StreamPace::ended);
        self.report(pace);
    }

    fn report(&mut self, pace: Option<Pace>) {
        let Some(pace) = pace else {
            return;
        };
        self.pace = None;
        let MonitoredStream { service, model, version, .. } = &self.subject;
        let kind = RequestKind { route: None, model: model.clone(), part: LatencyKind::Pause };
        let Pace { pause, in_progress } = pace;
        let observation = Observation::Paced(pause);
        self.state.rollouts.lock().observe(service, version, &kind, in_progress, observation);
    }
}
