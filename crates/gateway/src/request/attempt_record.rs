//! What is recorded of an attempt: metrics, the upstream's health, its version's rollout, and the times that
//! later decisions rest on.

use std::time::Duration;

use http::StatusCode;
use stallhoist_core::MonoTime;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::rollout::Observation;

use super::BrokenResponse;
use super::attempt::Attempt;
use super::attempt::AttemptOutcome;
use crate::dialect::RequestedModel;
use crate::metrics::AttemptResult;
use crate::upstream_report::UpstreamReport;
use crate::upstreams::ArrivedFirstChunk;

impl Attempt<'_> {
    /// Logs what an upstream reported that limits its use.
    pub(super) fn log_report(&self, upstream_report: &UpstreamReport, has_limit_changed: bool) {
        let limits_use = upstream_report.is_leaving || upstream_report.rest.is_some();
        if !(limits_use || has_limit_changed) || !self.state.decisions.admits(self.state.now()) {
            return;
        }
        let incarnation = &self.chosen.start;
        if limits_use {
            log::info!(
                request = self.call.head.id,
                instance:% = incarnation,
                is_leaving = upstream_report.is_leaving,
                rest:? = upstream_report.rest;
                "an upstream leaves, or asks for rest"
            );
        }
        if has_limit_changed {
            let limit = upstream_report.limit;
            log::info!(instance:% = incarnation, limit:? = limit; "an upstream's limit has changed");
        }
    }

    /// Records an attempt in the metrics, the upstream's health and its version's rollout.
    pub(super) fn record_result(
        &self,
        started: MonoTime,
        outcome: &AttemptOutcome,
        is_overdue: bool,
    ) {
        let now = self.state.now();
        let upstreams = &self.state.upstreams;
        let elapsed = now.since(started);
        let response = if is_overdue {
            Observation::AnsweredOverdue(elapsed)
        } else {
            Observation::Answered(elapsed)
        };
        let (result, evidence, observation) = match outcome {
            // These say nothing about the upstream.
            AttemptOutcome::Stopped => {
                self.state.metrics.record_attempt(AttemptResult::Stopped);
                return;
            }
            AttemptOutcome::Broken(BrokenResponse::NoMemory, _) => {
                self.state.metrics.record_attempt(AttemptResult::NoMemory);
                return;
            }
            AttemptOutcome::NotSent(_) => (AttemptResult::NotSent, Evidence::Refused, None),
            AttemptOutcome::NotRun(status) => {
                (AttemptResult::NotRun, self.rejection_signal(*status), None)
            }
            AttemptOutcome::Whole(reply) if reply.status.is_server_error() => {
                (AttemptResult::Failure, Evidence::Failed, Some(Observation::Failed))
            }
            AttemptOutcome::Whole(_) | AttemptOutcome::Stream(_) => {
                (AttemptResult::Answered, Evidence::Answered, Some(response))
            }
            AttemptOutcome::Broken(..) => {
                (AttemptResult::Broken, Evidence::Failed, Some(Observation::Failed))
            }
            AttemptOutcome::TimedOut | AttemptOutcome::GivenUp => {
                (AttemptResult::TimedOut, Evidence::Failed, Some(Observation::Failed))
            }
        };
        self.state.metrics.record_attempt(result);
        self.record_times(now, elapsed, outcome);
        if let (AttemptOutcome::Stream(stream), Some(model)) = (outcome, self.model) {
            let first_chunk = ArrivedFirstChunk {
                service: &self.call.service_name,
                model,
                relative_prefill_time: self.call.relative_prefill_time(Some(model)),
                chosen: self.chosen,
                took: elapsed,
                pace: stream.reply_head.upstream_report.load.and_then(|load| load.pace),
            };
            upstreams.first_chunk_arrived(now, first_chunk);
        }
        if upstreams.observe(now, &self.chosen.start, evidence) {
            self.state.confirm_termination(&self.chosen.start);
        }
        if let Some(observation) = observation {
            self.observe(observation);
        }
    }

    /// Records what the attempt shows about the upstream's load.
    fn record_times(&self, now: MonoTime, elapsed: Duration, outcome: &AttemptOutcome) {
        let times = &self.state.attempt_times;
        let service = &self.call.service_name;
        match outcome {
            AttemptOutcome::NotRun(_) => times.record_rejection(now, service),
            AttemptOutcome::Whole(_) => times.record_sign(now, &self.chosen.start),
            AttemptOutcome::Stream(_) => {
                times.record_sign(now, &self.chosen.start);
                times.record_first_chunk(now, service, self.chosen.expected_wait(), elapsed);
            }
            AttemptOutcome::NotSent(_)
            | AttemptOutcome::Broken(..)
            | AttemptOutcome::TimedOut
            | AttemptOutcome::GivenUp
            | AttemptOutcome::Stopped => {}
        }
    }

    /// Signal of a response which states that the request did not run. Where the caller named the model, a
    /// status of 421 does not indicate another process at the address: an upstream without that model
    /// responds with the same status.
    fn rejection_signal(&self, status: StatusCode) -> Evidence {
        let is_callers_model = matches!(self.call.head.model, RequestedModel::Named(_));
        if status == StatusCode::MISDIRECTED_REQUEST && !is_callers_model {
            return Evidence::Misdirected;
        }
        Evidence::Refused
    }
}
