//! Telling other entries which upstreams ended while they ran which request.
//!
//! A caller's next try comes to another entry. What one entry knows of a request, all must know
//! within seconds; an entry that starts is told all of it.

use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;

use super::messages::CrashMessage;
use crate::state::GatewayState;

/// The most pairs of a request and an upstream that are told or believed at once: 30 bytes each.
const MAX_ITEMS: usize = 500;

/// What this entry has learnt lately.
pub(super) fn local_crashes(state: &GatewayState) -> Vec<CrashMessage> {
    messages(state.fatal.peer_updates(state.now()))
}

/// All that this entry knows.
pub(super) fn all_crashes(state: &GatewayState) -> Vec<CrashMessage> {
    messages(state.fatal.startup_peer_updates())
}

fn messages(ends: Vec<CrashUpdate>) -> Vec<CrashMessage> {
    let message = |news: CrashUpdate| CrashMessage {
        request: news.request.0.to_vec(),
        upstream: news.upstream.0,
        is_cleared: news.is_cleared,
    };
    ends.into_iter().take(MAX_ITEMS).map(message).collect()
}

/// Takes in what another entry knows.
pub(super) fn apply_crashes(state: &GatewayState, told: &[CrashMessage]) {
    if told.is_empty() {
        return;
    }
    let news = |end: &CrashMessage| {
        Some(CrashUpdate {
            request: end.request.as_slice().try_into().ok()?,
            upstream: UpstreamKey(end.upstream),
            is_cleared: end.is_cleared,
        })
    };
    let readable: Vec<_> = told.iter().take(MAX_ITEMS).filter_map(news).collect();
    state.fatal.left_out(state.now(), told.len() - readable.len());
    state.fatal.apply_peer_update(state.now(), readable.into_iter());
}
