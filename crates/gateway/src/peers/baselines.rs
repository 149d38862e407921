//! Telling a starting entry the usual times of versions that are in force.

use stallhoist_core::NameError;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::RequestKind;

use super::messages::BaselineMessage;
use crate::rollouts::BaselineUpdate;
use crate::state::GatewayState;

/// The most times that are told or taken in at once. Three routes, two models and six loads
/// make 48.
const MAX_BASELINES: usize = 500;

/// The usual times that are known here, for one who wants them.
pub(super) fn local_baselines(state: &GatewayState, is_wanted: bool) -> Vec<BaselineMessage> {
    if !is_wanted {
        return Vec::new();
    }
    let known = state.rollouts.lock().baseline_updates();
    known.into_iter().take(MAX_BASELINES).map(news_of).collect()
}

/// Takes in what another entry tells.
pub(super) fn apply_baselines(state: &GatewayState, news: &[BaselineMessage]) {
    for news in news.iter().take(MAX_BASELINES) {
        match time_of(news) {
            Ok(time) if time.known.is_credible() => {
                state.rollouts.lock().apply_baseline_update(time)
            }
            Ok(time) => log::warn!(time:% = time; "ignored: a usual time that cannot be"),
            Err(error) => {
                log::warn!(error:% = error; "a usual time of no service, route or model ignored");
            }
        }
    }
}

fn news_of(time: BaselineUpdate) -> BaselineMessage {
    BaselineMessage {
        service: time.service.to_string(),
        order_version: time.order_version.number,
        route: time.kind.route.map(|route| route.to_string()),
        model: time.kind.model.map(|model| model.to_string()),
        is_pause: time.kind.part == LatencyKind::Pause,
        load: time.known.load,
        usual_ms: time.known.usual_ms,
    }
}

fn time_of(news: &BaselineMessage) -> Result<BaselineUpdate, NameError> {
    let kind = RequestKind {
        route: news.route.as_deref().map(str::parse).transpose()?,
        model: news.model.as_deref().map(str::parse).transpose()?,
        part: if news.is_pause { LatencyKind::Pause } else { LatencyKind::First },
    };
    Ok(BaselineUpdate {
        service: news.service.parse()?,
        order_version: StoreVersion::of(news.order_version),
        kind,
        known: BaselineLatency { load: news.load, usual_ms: news.usual_ms },
    })
}
