//! Telling the roll-outs how fast an upstream generates a stream.

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

/// What the pauses of a stream are told of.
#[derive(Debug)]
pub(super) struct PaceSubject {
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    pub(super) version: VersionName,
    pub(super) start: UpstreamIncarnation,
}

/// Watches the pauses of a stream until they show its pace, and tells that once.
#[derive(Debug)]
pub(super) struct PaceWatch {
    state: Arc<GatewayState>,
    subject: PaceSubject,
    /// None when the pace has been told.
    pace: Option<StreamPace>,
    /// Requests in progress when the pause began.
    in_progress: u32,
}

impl PaceWatch {
    pub(super) fn new(state: Arc<GatewayState>, subject: PaceSubject) -> Self {
        let in_progress = state.upstreams.in_progress(state.now(), &subject.start);
        Self { state, subject, pace: Some(StreamPace::default()), in_progress }
    }

    /// How long the pause that begins may last before it has to be told of; none when nothing
    /// more is to be told.
    pub(super) fn time_left(&self) -> Option<Duration> {
        self.pace.as_ref().map(StreamPace::time_left)
    }

    /// A pause has ended, or has lasted so long.
    pub(super) fn paused(&mut self, pause: Duration) {
        let Some(pace) = &mut self.pace else {
            return;
        };
        let (now, start) = (self.state.now(), &self.subject.start);
        let before = self.in_progress;
        self.in_progress = self.state.upstreams.in_progress(now, start);
        // A pause is as long as the greater load makes it.
        let pace = pace.record_pause(pause, before.max(self.in_progress));
        self.tell(pace);
    }

    /// The stream has come to its end.
    pub(super) fn ended(&mut self) {
        let pace = self.pace.as_ref().and_then(StreamPace::ended);
        self.tell(pace);
    }

    fn tell(&mut self, pace: Option<Pace>) {
        let Some(pace) = pace else {
            return;
        };
        self.pace = None;
        let PaceSubject { service, model, version, .. } = &self.subject;
        let kind = RequestKind { route: None, model: model.clone(), part: LatencyKind::Pause };
        let Pace { pause, in_progress } = pace;
        let observation = Observation::Paced(pause);
        self.state.rollouts.lock().observe(service, version, &kind, in_progress, observation);
    }
}
