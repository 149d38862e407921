//! Whether the response of a small model is replaced by one of the best model.

use std::time::Duration;

use stallhoist_policy::balance::Expectation;
use stallhoist_policy::cascade::EngineBacklog;
use stallhoist_policy::cascade::StepUpTiming;
use stallhoist_policy::retry::SecondAttempt;

use super::Execution;
use crate::request::attempt::OpenStream;
use crate::retry_budgets::RetryUse;
use crate::upstreams::Chosen;

impl Execution {
    /// Whether the response is dropped and the best model tried instead.
    pub(super) fn should_step_up(&self, stream: &OpenStream) -> bool {
        // The route's priority, not the workspace's: the worth of a better response depends on the kind of
        // request.
        let priority = self.call.route.priority;
        !self.progress.is_delivered()
            && self.models.has_better()
            && self.state.step_up.is_poor(priority, stream.reply_head.confidence)
            && self.may_attempt_again(|| {
                self.is_better_worthwhile() && self.take_retry(RetryUse::StepUp)
            })
    }

    /// Whether a response of the best model is expected in time, and there is engine time for it.
    fn is_better_worthwhile(&self) -> bool {
        let decisions = &self.state.settings.decisions;
        let Some(better) = self.choose_better() else {
            return !decisions.needs_better_in_time;
        };
        let Expectation { first_chunk, engine_time, .. } = better.expectation();
        let is_in_time = self.is_in_time(first_chunk);
        (!decisions.needs_better_in_time || is_in_time)
            && (!decisions.spares_busy_engines || self.leaves_others_their_time(&better))
            && self.has_engine_time(SecondAttempt::StepUp, first_chunk, engine_time)
    }

    /// Whether a response of the best model is expected in time.
    pub(super) fn is_better_in_time(&self) -> bool {
        let better = self.choose_better();
        better.is_some_and(|better| self.is_in_time(better.expectation().first_chunk))
    }

    /// The upstream for an attempt with the best model, if there is one.
    fn choose_better(&self) -> Option<Chosen> {
        let best = self.models.best();
        // An upstream that has failed before is better than none, as in `choose`.
        self.choose_for(best, &self.tried).or_else(|| self.choose_for(best, &[]))
    }

    /// Whether an attempt on `better` leaves other requests of the service their time.
    fn leaves_others_their_time(&self, better: &Chosen) -> bool {
        let service = &self.call.service_name;
        let config = self.state.config();
        let backlog = EngineBacklog {
            mean: self.state.upstreams.mean_prefill(self.state.now(), service),
            until_read: better.until_read(),
            strictest_target: config
                .and_then(|config| config.strictest_target(service))
                .unwrap_or_default(),
        };
        let has_time = backlog.has_time_for_better();
        if !has_time {
            self.state.metrics.step_ups_spared.inc();
        }
        has_time
    }

    fn is_in_time(&self, expected_wait: Duration) -> bool {
        let better = StepUpTiming {
            elapsed: self.state.now().since(self.call.arrived),
            expected_wait,
            target: self.call.route.target_latency,
        };
        better.is_in_time()
    }
}
