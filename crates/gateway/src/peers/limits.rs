//! Telling other entries which limits upstreams have named.
//!
//! A limit is divided among all entries. One whose part is nothing sends the upstream nothing, so it
//! learns only from others that the limit has changed or is over.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::RequestRate;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::named_limits::TellableLimit;

use super::messages::LimitNews;
use crate::state::GatewayState;

/// The most limits that are told or believed at once: 24 bytes each.
const MAX_TOLD: usize = 200;

/// What this entry has learnt lately.
pub(super) fn own_limits(state: &GatewayState) -> Vec<LimitNews> {
    let limits = state.upstreams.named_limits(state.now());
    let message = |(key, told): (UpstreamKey, TellableLimit)| LimitNews {
        upstream: key.0,
        per_s: told.limit.map(RequestRate::per_s),
        age_ms: u32::try_from(told.age.as_millis()).unwrap_or(u32::MAX),
    };
    limits.into_iter().take(MAX_TOLD).map(message).collect()
}

/// Takes in what another entry knows.
pub(super) fn take_limits(state: &GatewayState, told: &[LimitNews]) {
    let mut limits = HashMap::new();
    for news in told.iter().take(MAX_TOLD) {
        match news.per_s.map(RequestRate::from_per_s).transpose() {
            Ok(limit) => {
                let age = Duration::from_millis(u64::from(news.age_ms));
                limits.insert(UpstreamKey(news.upstream), TellableLimit { limit, age });
            }
            Err(error) => log::warn!(per_s:? = news.per_s, error:% = error; "a limit ignored"),
        }
    }
    state.upstreams.told_limits(state.now(), &limits);
}
