//! Handling of a broken response: distinguishes a crash of the upstream from a broken connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::fatal::Exposure;
use stallhoist_policy::fatal::ResponsePhase;

use super::Execution;
use crate::request::BrokenResponse;

/// Delay after a crash, in which most peers' crash updates on the same request arrive before it is sent
/// again. A request that reached seven gateways at the same moment, six times, crashed 6 to 9 upstreams with
/// the delay and 9 to 12 without it (8 runs each).
const PEER_UPDATE_DELAY: Duration = Duration::from_millis(100);

impl Execution {
    /// Finds out whether the upstream crashed during the request, and records the crash or the broken
    /// response. After a crash it waits for peers' updates, if there are peers.
    ///
    /// Log lines contain the request's fingerprint and the shared parts of its prompt: each try of a caller has its own
    /// id, so only these relate several crashes to the same request, or to what requests have in common.
    pub(crate) async fn after_broken_response(
        &self,
        incarnation: &UpstreamIncarnation,
        addr: SocketAddr,
        cause: &BrokenResponse,
        phase: ResponsePhase,
    ) -> bool {
        let state = &self.state;
        let broke_at = state.now();
        let has_crashed = cause.is_crash_of(state, incarnation, addr).await;
        if has_crashed {
            let now = state.now();
            state.metrics.upstream_ends.inc();
            state.metrics.record_broken_by_crash(phase);
            state.upstreams.observe(now, incarnation, Evidence::Ended);
            state.fatal.record_crash(now, &self.exposure(broke_at, phase), incarnation);
            state.confirm_termination(incarnation);
        } else if cause.may_be_confirmed_later() && !state.suspend_recovery.is_resyncing() {
            state.fatal.record_broken_stream(
                state.now(),
                self.exposure(broke_at, phase),
                incarnation,
            );
        }
        self.log_broken_response(incarnation, phase, has_crashed);
        if has_crashed && state.peers.lock().count() > 1 {
            tokio::time::sleep(PEER_UPDATE_DELAY).await;
        }
        has_crashed
    }

    /// What the upstream of the broken response was given.
    fn exposure(&self, broke_at: MonoTime, phase: ResponsePhase) -> Exposure {
        Exposure {
            request: self.call.fingerprint(),
            parts: Arc::clone(self.call.parts()),
            broke_at,
            phase,
            is_trial: !self.trials.is_empty(),
        }
    }

    /// Records a crash of the upstream in the middle of a response.
    pub(in crate::request) fn record_crash(&mut self) {
        self.progress.upstream_ended();
    }

    fn log_broken_response(
        &self,
        incarnation: &UpstreamIncarnation,
        phase: ResponsePhase,
        has_ended: bool,
    ) {
        if !self.state.decisions.admits(self.state.now()) {
            return;
        }
        log::info!(
            request = self.call.head.id,
            fingerprint:% = self.call.fingerprint(),
            instance:% = incarnation,
            response:% = phase,
            parts:% = self.call.head.prompt.as_ref().map(Prompt::shared_ids).unwrap_or_default(),
            has_ended;
            "an answer broke off"
        );
    }
}
