//! Whether the next attempt is sent now, waits at this gateway or is rejected.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_policy::overload::AttemptDecision;
use stallhoist_policy::overload::NewsValidity;
use stallhoist_policy::overload::RejectReason;
use stallhoist_policy::overload::ServiceRoom;
use stallhoist_policy::overload::ShareStatus;
use stallhoist_policy::overload::Waiter;
use xxhash_rust::xxh3::xxh3_64;

use super::Execution;
use crate::admission::WaitTicket;
use crate::metrics::AdmissionResult;
use crate::request::AbandonReason;
use crate::upstreams::RoomRequirement;

impl Execution {
    /// Waits until the next attempt may be sent. Returns whether it may be sent only while there is still room.
    ///
    /// # Errors
    /// Fails when the request cannot be served within its time limit. Nothing has run then.
    pub(super) async fn wait_for_turn(
        &self,
        ticket: &mut Option<WaitTicket>,
    ) -> Result<RoomRequirement, AbandonReason> {
        if !self.state.admission.is_enabled() || self.progress.is_delivered() {
            return Ok(RoomRequirement::None);
        }
        loop {
            let now = self.state.now();
            let validity = self.state.admission.news_validity(&self.call.service_name);
            let (room, first_chunk) = self.room(now, validity);
            match self.admit(now, ticket, &room, first_chunk) {
                AttemptDecision::WaitUntil(at) => {
                    if let Some(ticket) = ticket {
                        ticket.woken_until(now, at).await;
                    }
                }
                AttemptDecision::Reject { retry_after, reason }
                    if !self.progress.may_have_run() =>
                {
                    self.record_rejection(now, reason, retry_after);
                    return Err(AbandonReason::NotRun { retry_after });
                }
                AttemptDecision::Send if room.has_room() => {
                    return Ok(RoomRequirement::Free(validity));
                }
                AttemptDecision::Send | AttemptDecision::Reject { .. } => {
                    return Ok(RoomRequirement::None);
                }
            }
        }
    }

    fn admit(
        &self,
        now: MonoTime,
        ticket: &mut Option<WaitTicket>,
        room: &ServiceRoom,
        first_chunk: Duration,
    ) -> AttemptDecision {
        let admission = &self.state.admission;
        let deadline = self.latest_end();
        if let Some(ticket) = ticket {
            return admission.ask(now, ticket, deadline, room);
        }
        let waiter = Waiter {
            key: xxh3_64(self.call.head.id.as_bytes()),
            due: self.call.arrived.after(self.call.route.target_latency),
            deadline,
            first_chunk,
            priority: self.call.priority,
            share: ShareStatus::Within,
            pool: self.pool(),
            size_bytes: self.call.body.len(),
        };
        let (decision, new_ticket) = admission.offer(now, &self.call.service_name, waiter, room);
        *ticket = new_ticket;
        decision
    }

    /// When the request has a response at the latest: its time limit, or the end of a stopping process.
    pub(super) fn latest_end(&self) -> MonoTime {
        let deadline = self.call.deadline;
        self.state.responses_due().map_or(deadline, |due| deadline.min(due))
    }

    /// The room at the upstreams that the next attempt may use, and the time to the first chunk there.
    fn room(&self, now: MonoTime, validity: NewsValidity) -> (ServiceRoom, Duration) {
        let rule = self.version_rule();
        let placement = self.placement(&rule, self.models.chosen(), &[]);
        self.state.upstreams.room(now, &placement, validity)
    }

    /// Requests with the same number may use the same upstreams.
    fn pool(&self) -> u64 {
        let route = self.call.route.allowed_regions.as_ref();
        let workspace = self.call.workspace_allowed_regions.as_ref();
        if route.is_none() && workspace.is_none() {
            return 0;
        }
        xxh3_64(format!("{route:?} {workspace:?}").as_bytes())
    }

    /// Records that the next attempt is sent, after it waited with this ticket.
    pub(super) fn record_sent(&self, now: MonoTime, ticket: Option<&WaitTicket>) {
        let metrics = &self.state.metrics;
        let Some(ticket) = ticket else {
            metrics.record_admission(AdmissionResult::SentAtOnce);
            return;
        };
        let waited = now.since(ticket.since());
        metrics.record_admission(AdmissionResult::SentAfterWait);
        metrics.waited_s.observe(waited.as_secs_f64());
        if self.state.decisions.admits(now) {
            log::info!(
                request = self.call.head.id,
                waited_ms = waited.as_millis() as u64;
                "a request had to wait for room at an upstream"
            );
        }
    }

    fn record_rejection(&self, now: MonoTime, reason: RejectReason, retry_after: Duration) {
        let metrics = &self.state.metrics;
        metrics.record_admission(match reason {
            RejectReason::NoTimeLeft => AdmissionResult::RejectedNoTimeLeft,
            RejectReason::NoTurnInTime => AdmissionResult::RejectedNoTurnInTime,
            RejectReason::QueueFull => AdmissionResult::RejectedQueueFull,
        });
        metrics.retry_after_s.observe(retry_after.as_secs_f64());
        if self.state.decisions.admits(now) {
            log::info!(
                request = self.call.head.id,
                reason:% = reason,
                waiting = self.state.admission.waiting(),
                elapsed_ms = now.since(self.call.arrived).as_millis() as u64,
                retry_after_ms = retry_after.as_millis() as u64;
                "a request is rejected for lack of room at the upstreams"
            );
        }
    }
}
