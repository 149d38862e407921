//! Exchanges rollout decisions with peers.

use stallhoist_core::StoreVersion;

use super::messages::DecisionMessage;
use crate::rollouts::RolloutDecision;
use crate::rollouts::RolloutOutcome;
use crate::state::GatewayState;

/// The rollout decisions known locally.
pub(super) fn local_decisions(state: &GatewayState) -> Vec<DecisionMessage> {
    let decisions = state.rollouts.lock().decisions();
    let to_message = |decision: &RolloutDecision| DecisionMessage {
        service: decision.service.to_string(),
        order_version: decision.order_version.number,
        is_completed: decision.outcome == RolloutOutcome::Completed,
    };
    decisions.iter().map(to_message).collect()
}

/// Merges rollout decisions received from a peer.
pub(super) fn apply_decisions(state: &GatewayState, messages: &[DecisionMessage]) {
    for message in messages {
        match message.service.parse() {
            Ok(service) => {
                let order_version = StoreVersion::of(message.order_version);
                let outcome = if message.is_completed {
                    RolloutOutcome::Completed
                } else {
                    RolloutOutcome::Bad
                };
                state.rollouts.lock().apply_peer_update(&RolloutDecision {
                    service,
                    order_version,
                    outcome,
                });
            }
            Err(error) => {
                log::warn!(
                    service = message.service,
                    error:% = error;
                    "ignoring a rollout decision with an invalid service name"
                );
            }
        }
    }
}
