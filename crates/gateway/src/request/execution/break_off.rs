//! What a request does when its answer broke off.

use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::Evidence;

use super::Execution;
use crate::request::Break;

/// After an upstream has ended under a request, other entries have told of ends that they saw under the
/// same one by then, mostly, and it is not sent on. A request that came to seven entries at the same
/// moment, six times, ended 6 to 9 upstreams, and 9 to 12 without this pause (8 runs each).
const OTHERS_TELL_WITHIN: Duration = Duration::from_millis(100);

impl Execution {
    /// Finds out whether the upstream has ended under the request, and takes it down. Where there are
    /// other entries it gives them a moment to tell what they know.
    ///
    /// The lines name the request's fingerprint: each try of a caller has an id of its own, so only
    /// the fingerprint tells that several upstreams have ended under the same request.
    pub(crate) async fn after_break(
        &self,
        start: &UpstreamIncarnation,
        addr: SocketAddr,
        cause: &Break,
    ) -> bool {
        let state = &self.state;
        let has_ended = cause.is_end_of(state, start, addr).await;
        if has_ended {
            let now = state.now();
            state.metrics.upstream_ends.inc();
            state.upstreams.observe(now, start, Evidence::Ended);
            state.fatal.record_crash(now, self.call.fingerprint(), start);
            state.confirm_termination(start);
        } else if cause.may_show_later() && !state.suspend_recovery.is_resyncing() {
            state.fatal.record_broken_stream(state.now(), self.call.fingerprint(), start);
        }
        self.log_break(start, has_ended);
        if has_ended && state.peers.lock().count() > 1 {
            tokio::time::sleep(OTHERS_TELL_WITHIN).await;
        }
        has_ended
    }

    /// The upstream has ended under the request, after a part of its answer had come.
    pub(in crate::request) fn upstream_ended(&mut self) {
        self.progress.upstream_ended();
    }

    fn log_break(&self, start: &UpstreamIncarnation, has_ended: bool) {
        if !self.state.decisions.admits(self.state.now()) {
            return;
        }
        log::info!(
            request = self.call.head.id,
            fingerprint:% = self.call.fingerprint(),
            instance:% = start,
            has_ended;
            "an answer broke off"
        );
    }
}
