//! Exchanges with peers the evidence on a version being rolled out, and the sessions that stay on
//! the old version.
//!
//! A gateway that polls a relay sends its evidence with the poll. The relays exchange here theirs and
//! that of the gateways that report to them, so that a decision rests on the evidence of all gateways.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::baselines::apply_baselines;
use super::client::PeerClient;
use super::evidence_message::Evidence;
use super::messages::PeerRequest;
use super::messages::Session;
use crate::rollouts::ReportPosition;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// Interval between two updates.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of other gateways whose evidence is passed on at once, of about 60 bytes and 25 more
/// for each route. The rest follows with the next updates.
const MAX_PASSED_ON: usize = 32;

/// The evidence that this gateway has counted on running rollouts.
pub(super) fn local_evidence(state: &GatewayState) -> Vec<Evidence> {
    let local = state.rollouts.lock().local_evidence();
    let own =
        |(service, order, totals): &(_, _, _)| Evidence::own(state.run, service, *order, totals);
    local.iter().map(own).collect()
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

/// Sends the local evidence, and that of the gateways that report to this one, to the other relays, forever.
///
/// In a large fleet each relay is told by a part of the gateways only. When relays sent no more than
/// their own counts, one knew 4 of 13 failures of a version that failed on one route in three.
pub(crate) async fn publish_evidence(state: Arc<GatewayState>) {
    let mut client = PeerClient::new(RESPONSE_TIMEOUT);
    let mut passed_on = HashMap::new();
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        let evidence = local_evidence(&state);
        if evidence.is_empty() {
            client.disconnect();
            passed_on.clear();
            continue;
        }
        let host = state.settings.host.id.to_string();
        let sessions = pinned_sessions(&state, SessionScope::All);
        let needs_baselines = state.rollouts.lock().needs_baselines();
        let request =
            PeerRequest { host, evidence, sessions, needs_baselines, ..PeerRequest::default() };
        let relays = state.peers.lock().other_relays();
        for (_, addr) in relays {
            let position = passed_on.remove(&addr).unwrap_or_default();
            let (request, position) = with_passed_on(&state, &request, position);
            match client.send(addr, &request).await {
                Ok(response) => {
                    passed_on.insert(addr, position);
                    apply_baselines(&state, &response.baselines);
                }
                // It may have restarted: from now on everything is sent again.
                Err(error) => {
                    log::debug!(addr:% = addr, error:% = error; "failed to send evidence to a peer");
                }
            }
        }
    }
}

/// Adds to a request what gateways have reported after a position; returns also the position up to which
/// it goes.
fn with_passed_on(
    state: &GatewayState,
    request: &PeerRequest,
    position: ReportPosition,
) -> (PeerRequest, ReportPosition) {
    let (reports, position) = state.rollouts.lock().reports_after(position, MAX_PASSED_ON);
    let mut request = request.clone();
    request.evidence.extend(reports.iter().map(Evidence::passed_on));
    (request, position)
}
