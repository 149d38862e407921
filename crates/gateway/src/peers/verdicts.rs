//! Telling other entries which new versions are known to be bad.

use stallhoist_core::StoreVersion;

use super::messages::BadVersion;
use crate::rollouts::Verdict;
use crate::state::GatewayState;

/// What this entry knows.
pub(super) fn known_bad(state: &GatewayState) -> Vec<BadVersion> {
    let verdicts = state.rollouts.lock().verdicts();
    let message = |verdict: &Verdict| BadVersion {
        service: verdict.service.to_string(),
        order_version: verdict.order_version.0,
    };
    verdicts.iter().map(message).collect()
}

/// Takes in what another entry knows.
pub(super) fn take_bad(state: &GatewayState, told: &[BadVersion]) {
    for bad in told {
        match bad.service.parse() {
            Ok(service) => {
                let order_version = StoreVersion(bad.order_version);
                state.rollouts.lock().told_bad(&Verdict { service, order_version });
            }
            Err(error) => {
                log::warn!(service = bad.service, error:% = error; "verdict on no service ignored");
            }
        }
    }
}
