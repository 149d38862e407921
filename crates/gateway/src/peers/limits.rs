//! Telling other entries which limits upstreams have named.
//!
//! A limit is divided among all entries. One whose part is nothing sends the upstream nothing, so it
//! learns only from others that the limit has changed or is over.

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

/// The most limits that are told or believed at once: 24 bytes each.
const MAX_ITEMS: usize = 200;

/// How long an entry that starts waits to learn which limits hold: about as long as it waits for the
/// list of entries. Seeds that are well answer in 10 ms.
const FETCH_TIMEOUT: Duration = Duration::from_millis(100);

/// What this entry has learnt lately.
pub(super) fn local_limits(state: &GatewayState) -> Vec<LimitMessage> {
    messages(state.upstreams.named_limits(state.now()))
}

/// All limits that hold, for an entry that starts: an upstream with nothing to do is its best choice
/// until it has heard of the limit.
pub(super) fn all_limits(state: &GatewayState) -> Vec<LimitMessage> {
    messages(state.upstreams.all_named_limits(state.now()))
}

fn messages(limits: Vec<(UpstreamKey, LimitUpdate)>) -> Vec<LimitMessage> {
    let message = |(key, told): (UpstreamKey, LimitUpdate)| LimitMessage {
        upstream: key.0,
        per_s: told.limit.map(RequestRate::per_s),
        age_ms: u32::try_from(told.age.as_millis()).unwrap_or(u32::MAX),
    };
    limits.into_iter().take(MAX_ITEMS).map(message).collect()
}

/// Asks the seeds which limits hold, before this entry serves.
///
/// An upstream with nothing to do is the best choice of an entry that does not know its limit: of 30
/// requests in its first moment 10 went to one that took one.
pub(crate) async fn fetch_startup_limits(state: Arc<GatewayState>) {
    let own = state.settings.peers_addr.parse().ok();
    let others = seeds(&state.settings).filter(|seed| Some(*seed) != own);
    let asked = others.map(|seed| request_from_seed(&state, seed));
    if timeout(FETCH_TIMEOUT, join_all(asked)).await.is_err() {
        log::info!("not all seeds have told which limits hold");
    }
    state.set_has_limits();
}

async fn request_from_seed(state: &GatewayState, addr: SocketAddr) {
    let request = PeerRequest { is_starting: true, ..PeerRequest::default() };
    match request_once(addr, &request, FETCH_TIMEOUT).await {
        Ok(response) => apply_limits(state, &response.limits),
        Err(error) => log::debug!(addr:% = addr, error:% = error; "a seed did not answer"),
    }
}

/// Takes in what another entry knows.
pub(super) fn apply_limits(state: &GatewayState, told: &[LimitMessage]) {
    for news in told.iter().take(MAX_ITEMS) {
        match news.per_s.map(RequestRate::from_per_s).transpose() {
            Ok(limit) => {
                let age = Duration::from_millis(u64::from(news.age_ms));
                let told = LimitUpdate { limit, age };
                let upstream = UpstreamKey(news.upstream);
                let is_other = state.upstreams.told_limit(state.now(), upstream, told);
                if is_other && state.decisions.admits(state.now()) {
                    log::info!(upstream = upstream.0, limit:? = limit; "told of an upstream's limit");
                }
            }
            Err(error) => log::warn!(per_s:? = news.per_s, error:% = error; "a limit ignored"),
        }
    }
}
