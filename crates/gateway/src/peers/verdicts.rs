//! Telling other entries how roll-outs end.

use stallhoist_core::StoreVersion;

use super::messages::VerdictNews;
use crate::rollouts::RolloutDecision;
use crate::rollouts::RolloutOutcome;
use crate::state::GatewayState;

/// What this entry knows.
pub(super) fn own_verdicts(state: &GatewayState) -> Vec<VerdictNews> {
    let verdicts = state.rollouts.lock().decisions();
    let message = |verdict: &RolloutDecision| VerdictNews {
        service: verdict.service.to_string(),
        order_version: verdict.order_version.number,
        is_completed: verdict.outcome == RolloutOutcome::Completed,
    };
    verdicts.iter().map(message).collect()
}

/// Takes in what another entry knows.
pub(super) fn take_verdicts(state: &GatewayState, told: &[VerdictNews]) {
    for news in told {
        match news.service.parse() {
            Ok(service) => {
                let order_version = StoreVersion::of(news.order_version);
                let outcome =
                    if news.is_completed { RolloutOutcome::Completed } else { RolloutOutcome::Bad };
                state.rollouts.lock().apply_peer_update(&RolloutDecision {
                    service,
                    order_version,
                    outcome,
                });
            }
            Err(error) => {
                log::warn!(service = news.service, error:% = error; "verdict on no service ignored");
            }
        }
    }
}
