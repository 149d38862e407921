//! Telling other entries what was seen of a version that is rolled out, and which sessions
//! stay on the old one.
//!
//! An entry that asks another for news tells it with the question. Those that follow the
//! store tell each other here, so that in a small fleet too one verdict rests on what all
//! have seen.

use std::sync::Arc;
use std::time::Duration;

use super::baselines::apply_baselines;
use super::client::PeerClient;
use super::messages::Evidence;
use super::messages::PeerRequest;
use super::messages::Session;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// How often it is told.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// How long another entry may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// What this entry has counted of roll-outs that are under way.
pub(super) fn local_evidence(state: &GatewayState) -> Vec<Evidence> {
    let own = state.rollouts.lock().own_evidence();
    own.iter().map(|(service, order, totals)| Evidence::of(service, *order, *totals)).collect()
}

/// The sessions that stay on the old version of a service, though their hash is in the new
/// one's share. Another entry, at which a session goes on, cannot know it otherwise.
pub(super) fn pinned_sessions(state: &GatewayState, scope: SessionScope) -> Vec<Session> {
    let now = state.now();
    let canaries = state.rollouts.lock().canaries();
    let sessions = state.sessions.lock();
    let kept = canaries.iter().flat_map(|(service, target, share)| {
        sessions.pinned_away_from(now, service, target, *share, scope)
    });
    kept.map(|kept| Session::of(&kept)).collect()
}

/// Takes in the sessions that another entry tells of.
pub(super) fn apply_sessions(state: &GatewayState, sessions: &[Session]) {
    let now = state.now();
    for session in sessions {
        match session.kept() {
            Ok(kept) => state.sessions.lock().apply_peer_update(now, kept),
            Err(error) => {
                log::warn!(error:% = error; "a session of no service or version ignored");
            }
        }
    }
}

/// Tells the other entries that follow the store, for ever.
pub(crate) async fn publish_evidence(state: Arc<GatewayState>) {
    let mut client = PeerClient::new(ANSWER_TIMEOUT);
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        let evidence = local_evidence(&state);
        if evidence.is_empty() {
            client.disconnect();
            continue;
        }
        let host = state.settings.host.id.to_string();
        let sessions = pinned_sessions(&state, SessionScope::All);
        let needs_baselines = state.rollouts.lock().wants_times();
        let request =
            PeerRequest { host, evidence, sessions, needs_baselines, ..PeerRequest::default() };
        let relays = state.peers.lock().other_relays();
        for (_, addr) in relays {
            match client.tell(addr, &request).await {
                Ok(response) => apply_baselines(&state, &response.times),
                Err(error) => log::debug!(addr:% = addr, error:% = error; "evidence not told"),
            }
        }
    }
}
