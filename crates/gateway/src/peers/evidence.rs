//! Exchanges with peers the evidence on a version being rolled out, and the sessions that stay on
//! the old version.
//!
//! A gateway that polls a relay sends its evidence with the poll. The relays exchange theirs here,
//! so that in a small fleet too one decision rests on the evidence of all gateways.

use std::sync::Arc;
use std::time::Duration;

use super::baselines::apply_baselines;
use super::client::PeerClient;
use super::messages::Evidence;
use super::messages::PeerRequest;
use super::messages::Session;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// Interval between two updates.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The evidence that this gateway has counted on running rollouts.
pub(super) fn local_evidence(state: &GatewayState) -> Vec<Evidence> {
    let local = state.rollouts.lock().local_evidence();
    local.iter().map(|(service, order, totals)| Evidence::of(service, *order, *totals)).collect()
}

/// The sessions that stay on the old version of a service although their hash falls into the share
/// of the new one. Another gateway, to which such a session moves, cannot know it otherwise.
pub(super) fn pinned_sessions(state: &GatewayState, scope: SessionScope) -> Vec<Session> {
    let now = state.now();
    let canaries = state.rollouts.lock().canaries();
    let sessions = state.sessions.lock();
    let kept = canaries.iter().flat_map(|(service, target, share)| {
        sessions.pinned_away_from(now, service, target, *share, scope)
    });
    kept.map(|kept| Session::of(&kept)).collect()
}

/// Merges sessions received from a peer.
pub(super) fn apply_sessions(state: &GatewayState, sessions: &[Session]) {
    let now = state.now();
    for session in sessions {
        match session.kept() {
            Ok(kept) => state.sessions.lock().apply_peer_update(now, kept),
            Err(error) => {
                log::warn!(
                    error:% = error;
                    "ignoring a session with an invalid service or version name"
                );
            }
        }
    }
}

/// Sends the local evidence to the other relays, forever.
pub(crate) async fn publish_evidence(state: Arc<GatewayState>) {
    let mut client = PeerClient::new(RESPONSE_TIMEOUT);
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        let evidence = local_evidence(&state);
        if evidence.is_empty() {
            client.disconnect();
            continue;
        }
        let host = state.settings.host.id.to_string();
        let sessions = pinned_sessions(&state, SessionScope::All);
        let needs_baselines = state.rollouts.lock().needs_baselines();
        let request =
            PeerRequest { host, evidence, sessions, needs_baselines, ..PeerRequest::default() };
        let relays = state.peers.lock().other_relays();
        for (_, addr) in relays {
            match client.send(addr, &request).await {
                Ok(response) => apply_baselines(&state, &response.baselines),
                Err(error) => {
                    log::debug!(addr:% = addr, error:% = error; "failed to send evidence to a peer")
                }
            }
        }
    }
}
