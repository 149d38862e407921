//! Selects the upstream of a request's next attempt.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use xxhash_rust::xxh3::xxh3_64;

use super::Execution;
use crate::request::AbandonReason;
use crate::request::Call;
use crate::rollouts::VersionRule;
use crate::upstreams::AcquireError;
use crate::upstreams::Chosen;
use crate::upstreams::Placement;
use crate::upstreams::RoomRequirement;
use crate::upstreams::UnavailableReason;
use crate::upstreams::WorkGuard;

/// How long a request waits for an upstream where none is listed: rows that expired while the store was
/// unavailable are back in about two seconds.
const WAIT_FOR_UPSTREAM: Duration = Duration::from_millis(900);

/// Interval at which a waiting request selects again, whether or not the list of upstreams has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` of a request for which no upstream is allowed: operators empty availability zones for
/// seconds at least.
const NOT_ALLOWED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Execution {
    /// Selects the upstream of the next attempt and counts the attempt there; waits for one where there is none.
    /// `excluded`, which is among those tried, may be at work on the request and is not selected in any case.
    ///
    /// # Errors
    /// Fails when the deadline has passed, or when no upstream becomes usable in time.
    pub(super) async fn choose(
        &mut self,
        excluded: Option<&UpstreamIncarnation>,
    ) -> Result<(Chosen, WorkGuard), AbandonReason> {
        let mut ticket = None;
        let mut until = None;
        let mut lacked_connection = false;
        loop {
            let requirement = self.wait_for_turn(&mut ticket).await?;
            let now = self.state.now();
            let until = *until.get_or_insert(now.after(WAIT_FOR_UPSTREAM));
            if now >= self.latest_end() {
                return Err(self.abandon_reason());
            }
            match self.acquire(requirement) {
                Ok(acquired) => {
                    self.record_sent(now, ticket.as_ref());
                    return Ok(acquired);
                }
                Err(AcquireError::NoRoom) => continue,
                Err(AcquireError::NoneUsable) => {}
            }
            if self.forget_tried(excluded) {
                continue;
            }
            if now >= until {
                return Err(self.abandon_reason());
            }
            let mut pause = until.since(now).min(POLL_INTERVAL);
            match self.unavailable_reason() {
                UnavailableReason::NoneUsable => {}
                UnavailableReason::NoConnection => {
                    if !std::mem::replace(&mut lacked_connection, true) {
                        self.record_no_connection();
                    }
                }
                UnavailableReason::NoneAllowed => return Err(self.not_allowed()),
                UnavailableReason::NoQuotaUntil(at) if at > until => {
                    return Err(self.rejected_until(at));
                }
                // The caller's next try may reach one of the gateways that hold the quota.
                UnavailableReason::PeersHoldQuotaUntil(at) if at > until => {
                    return Err(self.abandon_reason());
                }
                UnavailableReason::NoQuotaUntil(at)
                | UnavailableReason::PeersHoldQuotaUntil(at) => pause = pause.min(at.since(now)),
            }
            let changed = self.state.upstreams.changed();
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    /// Allows upstreams that have failed before, which are better than none. Returns whether there are any.
    fn forget_tried(&mut self, excluded: Option<&UpstreamIncarnation>) -> bool {
        let before = self.tried.len();
        self.tried.retain(|tried| Some(tried) == excluded);
        self.tried.len() < before
    }

    /// Whether an upstream other than this one is usable for the next attempt.
    pub(super) fn has_another_upstream(&self, excluded: &UpstreamIncarnation) -> bool {
        self.choose_for(self.models.chosen(), std::slice::from_ref(excluded)).is_some()
    }

    /// Upstream for an attempt with `model`, if one is usable now that is not in `tried`.
    pub(super) fn choose_for(
        &self,
        model: Option<&ModelName>,
        tried: &[UpstreamIncarnation],
    ) -> Option<Chosen> {
        let rule = self.version_rule();
        self.state.upstreams.choose(self.state.now(), &self.placement(&rule, model, tried))
    }

    /// Selects an untried upstream for the next attempt and counts the attempt there, if one is usable now.
    fn acquire(&self, requirement: RoomRequirement) -> Result<(Chosen, WorkGuard), AcquireError> {
        let rule = self.version_rule();
        let placement = self.placement(&rule, self.models.chosen(), &self.tried);
        let running = || self.state.running(&self.call);
        self.state.upstreams.acquire(self.state.now(), &placement, requirement, running)
    }

    /// Why no upstream can be selected for the next attempt.
    fn unavailable_reason(&self) -> UnavailableReason {
        let rule = self.version_rule();
        let placement = self.placement(&rule, self.models.chosen(), &[]);
        self.state.upstreams.unavailable_reason(self.state.now(), &placement)
    }

    /// No send quota is available before `free_at`: rejects a request that has not run.
    fn rejected_until(&self, free_at: MonoTime) -> AbandonReason {
        match self.abandon_reason() {
            AbandonReason::NotRun { .. } => {
                AbandonReason::NotRun { retry_after: free_at.since(self.state.now()) }
            }
            other => other,
        }
    }

    /// Every usable upstream has as many connections as this gateway may have.
    fn record_no_connection(&self) {
        self.state.metrics.connection_waits.inc();
        if self.state.decisions.admits(self.state.now()) {
            let (request, service) = (&self.call.head.id, &self.call.service_name);
            log::info!(request, service:% = service; "waits for a free connection to an upstream");
        }
    }

    /// No upstream is allowed: rejects a request that has not run, as waiting would not help.
    fn not_allowed(&self) -> AbandonReason {
        if self.progress.may_have_run() {
            return self.abandon_reason();
        }
        AbandonReason::NotAllowed { retry_after: NOT_ALLOWED_RETRY_AFTER }
    }

    pub(super) fn placement<'a>(
        &'a self,
        rule: &'a VersionRule,
        model: Option<&'a ModelName>,
        tried: &'a [UpstreamIncarnation],
    ) -> Placement<'a> {
        let service = self.call.service.as_ref();
        Placement {
            service: &self.call.service_name,
            rule,
            route: &self.call.route.name,
            is_stream: self.call.route.is_stream,
            completion_weight: self.completion_weight(),
            model,
            relative_prefill_time: self.call.relative_prefill_time(model),
            prompt: self.call.head.prompt.as_ref(),
            body_bytes: self.call.body.len(),
            tie_seed: xxh3_64(self.call.head.id.as_bytes()),
            isolation_seed: self.isolation_seed,
            allowed_regions: [
                self.call.route.allowed_regions.as_ref(),
                self.call.workspace_allowed_regions.as_ref(),
            ],
            tried,
            max_connections: service.map_or(u32::MAX, |service| service.max_connections),
        }
    }

    /// Late at its first chunk a response has lost its full value, late at its end all of it.
    fn completion_weight(&self) -> f64 {
        let limit = self.call.deadline.since(self.call.arrived).as_secs_f64();
        let weight = self.call.route.target_latency.as_secs_f64() / limit;
        if weight.is_finite() { weight.min(1.0) } else { 0.0 }
    }

    pub(super) fn version_rule(&self) -> VersionRule {
        let now = self.state.now();
        let service = &self.call.service_name;
        let session = Call::session(&self.call.head);
        let session_version =
            session.and_then(|session| self.state.sessions.lock().version(now, service, session));
        let rollouts = self.state.rollouts.lock();
        if self.is_repeat() && session_version.is_none() {
            return rollouts.rule_of_repeat(now, service);
        }
        rollouts.rule(now, service, Call::unit(&self.call.head), session_version.as_ref())
    }
}
