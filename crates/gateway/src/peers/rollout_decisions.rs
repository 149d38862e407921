//! Telling other entries how roll-outs end.

use stallhoist_core::StoreVersion;

use super::messages::DecisionMessage;
use crate::rollouts::Ending;
use crate::rollouts::RolloutDecision;
use crate::state::GatewayState;

/// What this entry knows.
pub(super) fn local_decisions(state: &GatewayState) -> Vec<DecisionMessage> {
    let verdicts = state.rollouts.lock().verdicts();
    let message = |verdict: &RolloutDecision| DecisionMessage {
        service: verdict.service.to_string(),
        order_version: verdict.order_version.number,
        is_completed: verdict.ending == Ending::Completed,
    };
    verdicts.iter().map(message).collect()
}

/// Takes in what another entry knows.
pub(super) fn apply_decisions(state: &GatewayState, told: &[DecisionMessage]) {
    for news in told {
        match news.service.parse() {
            Ok(service) => {
                let order_version = StoreVersion::of(news.order_version);
                let ending = if news.is_completed { Ending::Completed } else { Ending::Bad };
                state.rollouts.lock().apply_peer_update(&RolloutDecision {
                    service,
                    order_version,
                    ending,
                });
            }
            Err(error) => {
                log::warn!(service = news.service, error:% = error; "verdict on no service ignored");
            }
        }
    }
}
