//! Counts the engine time of one attempt in the metrics.

use std::sync::Arc;

use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::balance::Expectation;

use super::attempt::AttemptOutcome;
use crate::metrics::EngineTimeUse;
use crate::state::GatewayState;

/// Counts the engine time of one attempt when it is dropped. An attempt without a recorded end is one whose caller
/// left.
#[derive(Debug)]
pub(crate) struct EngineTimeMeter {
    state: Arc<GatewayState>,
    service: ServiceName,
    expectation: Expectation,
    started: MonoTime,
    /// What it is used for if its response is forwarded.
    purpose: EngineTimeUse,
    end: Option<EngineTimeUse>,
}

impl EngineTimeMeter {
    /// Starts counting an attempt that is sent now.
    pub(crate) fn start(
        state: &Arc<GatewayState>,
        service: &ServiceName,
        expectation: Expectation,
        purpose: EngineTimeUse,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            service: service.clone(),
            expectation,
            started: state.now(),
            purpose,
            end: None,
        }
    }

    /// The response was forwarded to its end.
    pub(crate) fn answered(mut self) {
        self.end = Some(self.purpose);
    }

    /// The attempt ended in another way.
    pub(crate) fn ended(mut self, end: EngineTimeUse) {
        self.end = Some(end);
    }

    /// The attempt ended without a stream.
    pub(super) fn attempt_ended(mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent(_) | AttemptOutcome::NotRun(_) => {
                self.expectation.engine_time = EngineTime::ZERO;
            }
            AttemptOutcome::Whole(reply) if !reply.status.is_server_error() => self.answered(),
            AttemptOutcome::Whole(_)
            | AttemptOutcome::Stream(_)
            | AttemptOutcome::Broken(..)
            | AttemptOutcome::TimedOut
            | AttemptOutcome::GivenUp
            | AttemptOutcome::Stopped => self.ended(EngineTimeUse::GivenUp),
        }
    }

    /// All engine time of a complete response; of another the share of the expected duration that has passed.
    fn spent(&self) -> EngineTime {
        let time = self.expectation.engine_time;
        if self.end == Some(self.purpose) {
            return time;
        }
        let elapsed = self.state.now().since(self.started).as_secs_f64();
        let expected = self.expectation.completion.as_secs_f64();
        let share = if elapsed < expected { elapsed / expected } else { 1.0 };
        EngineTime::from_millis(time.as_millis() * share)
    }
}

impl Drop for EngineTimeMeter {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(EngineTimeUse::Abandoned);
        let spent = self.spent();
        if spent > EngineTime::ZERO {
            self.state.metrics.record_engine_time(&self.service, end, spent);
        }
    }
}
