//! Exchanges with peers which upstreams crashed while they ran which request.
//!
//! A caller's retry arrives at another gateway, so what one gateway knows of a request must reach
//! all others within seconds. A gateway that starts receives all of it.

use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;

use super::messages::CrashMessage;
use crate::state::GatewayState;

/// Maximum number of (request, upstream) pairs sent or applied at once, of 30 bytes each.
const MAX_ITEMS: usize = 500;

/// The crashes learnt recently.
pub(super) fn local_crashes(state: &GatewayState) -> Vec<CrashMessage> {
    messages(state.fatal.peer_updates(state.now()))
}

/// All known crashes.
pub(super) fn all_crashes(state: &GatewayState) -> Vec<CrashMessage> {
    messages(state.fatal.startup_peer_updates())
}

fn messages(ends: Vec<CrashUpdate>) -> Vec<CrashMessage> {
    let to_message = |update: CrashUpdate| CrashMessage {
        request: update.request.0.to_vec(),
        upstream: update.upstream.0,
        is_cleared: update.is_cleared,
    };
    ends.into_iter().take(MAX_ITEMS).map(to_message).collect()
}

/// Merges crashes received from a peer.
pub(super) fn apply_crashes(state: &GatewayState, messages: &[CrashMessage]) {
    if messages.is_empty() {
        return;
    }
    let to_update = |message: &CrashMessage| {
        Some(CrashUpdate {
            request: message.request.as_slice().try_into().ok()?,
            upstream: UpstreamKey(message.upstream),
            is_cleared: message.is_cleared,
        })
    };
    let updates: Vec<_> = messages.iter().take(MAX_ITEMS).filter_map(to_update).collect();
    state.fatal.left_out(state.now(), messages.len() - updates.len());
    state.fatal.apply_peer_update(state.now(), updates.into_iter());
}
