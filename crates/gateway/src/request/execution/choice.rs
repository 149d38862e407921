//! Choosing the upstream of a request's next attempt.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use xxhash_rust::xxh3::xxh3_64;

use super::Execution;
use crate::request::AbandonReason;
use crate::request::Call;
use crate::rollouts::VersionRule;
use crate::upstreams::Chosen;
use crate::upstreams::Placement;
use crate::upstreams::UnavailableReason;

/// How long a request waits for an upstream to be listed when there is none: entries
/// that lapsed while the store was away come back in about two seconds.
const WAIT_FOR_UPSTREAM: Duration = Duration::from_millis(900);

/// While it waits, the list is looked at again so often, whether or not it has changed.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// When the caller of a request is told to come back for which no upstream may be used: operators
/// empty zones for seconds at least.
const ALLOWED_AFTER: Duration = Duration::from_secs(1);

/// Of the connections that an upstream accepts from all, this entry uses one in so many.
const CONNECTION_DIVISOR: u32 = 2;

impl Execution {
    /// The upstream for the next attempt; waits for one if there is none.
    pub(super) async fn choose(&mut self) -> Result<Chosen, AbandonReason> {
        let until = self.state.now().after(WAIT_FOR_UPSTREAM);
        loop {
            let now = self.state.now();
            if now >= self.call.deadline {
                return Err(self.give_up());
            }
            if let Some(chosen) = self.take() {
                return Ok(chosen);
            }
            if !self.tried.is_empty() {
                // Better one that has failed before than none.
                self.tried.clear();
                continue;
            }
            if now >= until {
                return Err(self.give_up());
            }
            let mut pause = until.since(now).min(LOOK_AGAIN);
            match self.unavailable_reason() {
                UnavailableReason::NoneUsable => {}
                UnavailableReason::NoneAllowed => return Err(self.not_allowed()),
                UnavailableReason::NoQuotaUntil(at) if at > until => {
                    return Err(self.refused_until(at));
                }
                // The caller is sent to another entry, which may be one of those.
                UnavailableReason::PeersHoldQuotaUntil(at) if at > until => {
                    return Err(self.give_up());
                }
                UnavailableReason::NoQuotaUntil(at)
                | UnavailableReason::PeersHoldQuotaUntil(at) => pause = pause.min(at.since(now)),
            }
            let changed = self.state.upstreams.changed();
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    /// The upstream for an attempt with a model, if there is one now that was not tried.
    pub(super) fn choose_for(
        &self,
        model: Option<&ModelName>,
        tried: &[UpstreamIncarnation],
    ) -> Option<Chosen> {
        let rule = self.version_rule();
        self.state.upstreams.choose(self.state.now(), &self.placement(&rule, model, tried))
    }

    /// The upstream that the next attempt is sent to, if there is one now that was not tried.
    fn take(&self) -> Option<Chosen> {
        let rule = self.version_rule();
        let placement = self.placement(&rule, self.models.chosen(), &self.tried);
        self.state.upstreams.acquire(self.state.now(), &placement)
    }

    /// Why there is no upstream for the next attempt.
    fn unavailable_reason(&self) -> UnavailableReason {
        let rule = self.version_rule();
        let placement = self.placement(&rule, self.models.chosen(), &[]);
        self.state.upstreams.unavailable_reason(self.state.now(), &placement)
    }

    /// No place is free before then. What has not run is refused at once.
    fn refused_until(&self, free_at: MonoTime) -> AbandonReason {
        match self.give_up() {
            AbandonReason::NotRun { .. } => {
                AbandonReason::NotRun { retry_after: free_at.since(self.state.now()) }
            }
            other => other,
        }
    }

    /// No upstream may be used. What has not run is refused at once: to wait would take the
    /// caller's time in vain.
    fn not_allowed(&self) -> AbandonReason {
        if self.progress.may_have_run() {
            return self.give_up();
        }
        AbandonReason::NotAllowed { retry_after: ALLOWED_AFTER }
    }

    fn placement<'a>(
        &'a self,
        rule: &'a VersionRule,
        model: Option<&'a ModelName>,
        tried: &'a [UpstreamIncarnation],
    ) -> Placement<'a> {
        let service = self.call.service.as_ref();
        Placement {
            service: &self.call.service_name,
            rule,
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
            max_connections: service
                .map_or(u32::MAX, |s| (s.max_connections / CONNECTION_DIVISOR).max(1)),
        }
    }

    fn version_rule(&self) -> VersionRule {
        let now = self.state.now();
        let service = &self.call.service_name;
        let session = Call::session(&self.call.head);
        let session_version =
            session.and_then(|session| self.state.sessions.lock().version(now, service, session));
        let unit = Call::unit(&self.call.head);
        self.state.rollouts.lock().rule(now, service, unit, session_version.as_ref())
    }
}
