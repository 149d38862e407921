//! Sends the baseline latencies of active versions to a gateway that has just started.

use stallhoist_core::NameError;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::RequestKind;

use super::messages::BaselineMessage;
use crate::rollouts::BaselineUpdate;
use crate::state::GatewayState;

/// Maximum number of baselines sent or applied at once. Three routes, two models and six loads make
/// 48.
const MAX_BASELINES: usize = 500;

/// The baseline latencies known locally, if the peer requested them.
pub(super) fn local_baselines(state: &GatewayState, is_wanted: bool) -> Vec<BaselineMessage> {
    if !is_wanted {
        return Vec::new();
    }
    let known = state.rollouts.lock().baseline_updates();
    known.into_iter().take(MAX_BASELINES).map(to_message).collect()
}

/// Merges baseline latencies received from a peer.
pub(super) fn apply_baselines(state: &GatewayState, messages: &[BaselineMessage]) {
    for message in messages.iter().take(MAX_BASELINES) {
        match from_message(message) {
            Ok(time) if time.known.is_plausible() => {
                state.rollouts.lock().apply_baseline_update(time)
            }
            Ok(time) => log::warn!(time:% = time; "ignoring an implausible baseline latency"),
            Err(error) => {
                log::warn!(
                    error:% = error;
                    "ignoring a baseline latency with an invalid service, route or model name"
                );
            }
        }
    }
}

fn to_message(time: BaselineUpdate) -> BaselineMessage {
    BaselineMessage {
        service: time.service.to_string(),
        order_version: time.order_version.number,
        route: time.kind.route.map(|route| route.to_string()),
        model: time.kind.model.map(|model| model.to_string()),
        is_pause: time.kind.part == LatencyKind::Pause,
        load: time.known.load,
        usual_ms: time.known.usual_ms,
        log_variance: Some(time.known.log_variance),
    }
}

fn from_message(message: &BaselineMessage) -> Result<BaselineUpdate, NameError> {
    let kind = RequestKind {
        route: message.route.as_deref().map(str::parse).transpose()?,
        model: message.model.as_deref().map(str::parse).transpose()?,
        part: if message.is_pause { LatencyKind::Pause } else { LatencyKind::First },
    };
    Ok(BaselineUpdate {
        service: message.service.parse()?,
        order_version: StoreVersion::of(message.order_version),
        kind,
        known: BaselineLatency {
            load: message.load,
            usual_ms: message.usual_ms,
            log_variance: message.log_variance.unwrap_or(BaselineLatency::UNKNOWN_LOG_VARIANCE),
        },
    })
}
