//! What a request does when its answer broke off.

use std::net::SocketAddr;

use stallhoist_core::StartId;
use stallhoist_policy::balance::Evidence;

use super::Execution;
use crate::request::Break;

impl Execution {
    /// Finds out whether the upstream has ended under the request, and takes it down.
    ///
    /// The lines name the request's fingerprint: each try of a caller has an id of its own, so only
    /// the fingerprint tells that several upstreams have ended under the same request.
    pub(crate) async fn after_break(&self, start: &StartId, addr: SocketAddr, cause: &Break) {
        let state = &self.state;
        let has_ended = cause.is_end_of(state, start, addr).await;
        if has_ended {
            let now = state.now();
            state.metrics.upstream_ends.inc();
            state.upstreams.observe(now, start, Evidence::Ended);
            state.fatal.ended(now, self.call.fingerprint(), start);
        }
        if !state.decisions.admits(state.now()) {
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
