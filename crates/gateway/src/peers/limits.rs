//! Exchanges with peers the rate limits that upstreams have reported.
//!
//! A limit is divided among all gateways. One whose share is zero sends the upstream nothing, so it
//! learns only from peers that the limit has changed or was lifted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use stallhoist_core::RequestRate;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::named_limits::LimitUpdate;
use tokio::time::timeout;

use super::connection::request_once;
use super::messages::LimitMessage;
use super::messages::PeerRequest;
use super::seeds::seeds;
use crate::state::GatewayState;

/// Maximum number of limits sent or applied at once, of 24 bytes each.
const MAX_ITEMS: usize = 200;

/// How long a starting gateway waits for the current limits: about as long as for the list of
/// gateways. Healthy seeds respond in 10 ms.
const FETCH_TIMEOUT: Duration = Duration::from_millis(100);

/// The limits learnt recently.
pub(super) fn local_limits(state: &GatewayState) -> Vec<LimitMessage> {
    messages(state.upstreams.limit_updates(state.now()))
}

/// All current limits, for a gateway that starts: it prefers an idle upstream until it knows that
/// upstream's limit.
pub(super) fn all_limits(state: &GatewayState) -> Vec<LimitMessage> {
    messages(state.upstreams.startup_limit_updates(state.now()))
}

fn messages(limits: Vec<(UpstreamKey, LimitUpdate)>) -> Vec<LimitMessage> {
    let to_message = |(key, update): (UpstreamKey, LimitUpdate)| LimitMessage {
        upstream: key.0,
        per_s: update.limit.map(RequestRate::per_s),
        age_ms: u32::try_from(update.age.as_millis()).unwrap_or(u32::MAX),
    };
    limits.into_iter().take(MAX_ITEMS).map(to_message).collect()
}

/// Fetches the current limits from the seeds before this gateway serves.
///
/// A gateway that does not know an idle upstream's limit prefers that upstream: of the first 30
/// requests, 10 went to one that accepted one.
pub(crate) async fn fetch_startup_limits(state: Arc<GatewayState>) {
    let local = state.settings.peers_addr.parse().ok();
    let others = seeds(&state.settings).filter(|seed| Some(*seed) != local);
    let requests = others.map(|seed| request_from_seed(&state, seed));
    if timeout(FETCH_TIMEOUT, join_all(requests)).await.is_err() {
        log::info!("not all seeds responded with the current limits in time");
    }
    state.set_has_limits();
}

async fn request_from_seed(state: &GatewayState, addr: SocketAddr) {
    let request = PeerRequest { is_starting: true, ..PeerRequest::default() };
    match request_once(addr, &request, FETCH_TIMEOUT).await {
        Ok(response) => apply_limits(state, &response.limits),
        Err(error) => log::debug!(addr:% = addr, error:% = error; "a seed did not respond"),
    }
}

/// Merges limits received from a peer.
pub(super) fn apply_limits(state: &GatewayState, messages: &[LimitMessage]) {
    for message in messages.iter().take(MAX_ITEMS) {
        match message.per_s.map(RequestRate::from_per_s).transpose() {
            Ok(limit) => {
                let age = Duration::from_millis(u64::from(message.age_ms));
                let update = LimitUpdate { limit, age };
                let upstream = UpstreamKey(message.upstream);
                let has_changed = state.upstreams.apply_limit_update(state.now(), upstream, update);
                if has_changed && state.decisions.admits(state.now()) {
                    log::info!(
                        upstream = upstream.0,
                        limit:? = limit;
                        "told of an upstream's limit"
                    );
                }
            }
            Err(error) => {
                log::warn!(
                    per_s:? = message.per_s,
                    error:% = error;
                    "ignoring an invalid rate limit"
                );
            }
        }
    }
}
